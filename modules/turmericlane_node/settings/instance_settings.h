#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace turmericlane
{

/** Host and port of a service of the platform. */
struct host_port
{
    /** Numeric IP address. */
    std::string host;
    std::uint16_t port = 0;
};

/** Validated settings of the daemon.

    @see read_instance_settings
*/
struct instance_settings
{
    /** Numeric IP address to listen on and to be reached at. */
    std::string address;
    std::uint16_t http_port = 0;
    std::uint16_t peer_port = 0;
    std::string data_centre;
    /** Other data centres, nearest first. */
    std::vector<std::string> nearest_data_centres;
    ordinal index = 0;
    host_port configuration_service;
    host_port instance_list;
    /** Public keys of the operators, hexadecimal, or a file that holds them. */
    std::string trusted_keys;
    /** File with the keys that instances share, one in each line; the first
        one signs. */
    std::string peer_key_file;
    std::string log_folder;
    /** How long callers may use an answer about instances. */
    std::chrono::milliseconds answer_lifetime{5000};
    /** Longest time from SIGTERM to the end of the process. */
    std::chrono::milliseconds shutdown_limit{30000};
    /** Time without an answer from peers after which an unconfirmed version is
        served. */
    std::chrono::milliseconds startup_limit{5000};
    /** Time between two reads of the instance list. */
    std::chrono::milliseconds list_period{1000};
    /** Time between two reads of a backend server's load. */
    std::chrono::milliseconds load_period{500};
    /** Callers' connections that are served at the same time. */
    std::size_t http_threads = 128;
    /** Connections of callers, served or waiting; above http_threads. */
    std::size_t http_connections = 512;
    /** Limit of the memory for requests and responses of callers. */
    std::size_t http_memory_bytes = std::size_t{32} << 20U;
    /** Time from the first byte of a caller's request to its last. */
    std::chrono::milliseconds http_request_timeout{10000};
    /** Connections at the port for peers that have not proved that they come
        from one. */
    std::size_t unproven_peers = 256;
};

/** Reads and validates the settings from flags and the environment.
    @param arguments  arguments of the program, its name first
    @param help       where --help is printed
    @returns the settings; on failure one line that names setting, value and
             accepted range, or an empty text after --help */
result<instance_settings> read_instance_settings(
    std::span<const char* const> arguments, std::ostream& help);

} // namespace turmericlane
