#pragma once

#include <list>
#include <mutex>

namespace turmericlane
{

/** The connections of an HTTP server that wait for a request, so that one of
    them can be closed when another connection needs its thread. Thread-safe.

    @see idle_connection
*/
class idle_connections
{
public:
    /** Ends the input of the connection that is used least: first those that
        never carried a request, then the one that has been idle for longest.
        Does nothing if none is idle. */
    void close_one();

private:
    friend class idle_connection;

    struct entry
    {
        int socket;
        bool has_carried_request;
    };

    std::mutex mutex_;
    /** In the order in which they became idle. Guarded by mutex_. */
    std::list<entry> entries_;
};

/** Lists a connection as idle while it exists. */
class idle_connection
{
public:
    /** @param connections  must outlive the object
        @param socket       must stay open while the object exists */
    idle_connection(
        idle_connections& connections, int socket, bool has_carried_request);
    ~idle_connection();
    idle_connection(const idle_connection&) = delete;
    idle_connection& operator=(const idle_connection&) = delete;

private:
    idle_connections& connections_;
    std::list<idle_connections::entry>::iterator position_;
};

} // namespace turmericlane
