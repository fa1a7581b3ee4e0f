#pragma once

#include "loopback.h"

#include <memory>

namespace turmericlane::tests
{

/** A stand-in for a faulty searcher, which sends any bytes at any time. */
class raw_searcher
{
public:
    /** A connection of the gateway. */
    class connection : public std::enable_shared_from_this<connection>
    {
    public:
        explicit connection(tcp_socket socket);

        /** Sends bytes, after those of former calls. */
        void write(const std::string& bytes);

        /** Sends the same bytes again and again until the connection ends. */
        void write_without_end(const std::string& bytes);

        /** Closes the connection after all bytes were sent, or at once if there
            are none. */
        void close_after_writing();

        /** True once the gateway has closed the connection. */
        bool has_ended() const noexcept
        {
            return has_ended_;
        }

        /** Number of requests received on this connection. */
        std::size_t request_count = 0;

    private:
        friend class raw_searcher;

        void write_next();

        tcp_socket socket_;
        std::string unwritten_;
        std::string in_writing_;
        std::string repeated_;
        bool is_writing_ = false;
        bool closes_after_writing_ = false;
        bool has_ended_ = false;
        std::string received_;
    };

    /** Answers a request.
        @param request  its text up to the end of the head */
    using script = std::function<void(
        const std::shared_ptr<connection>&, const std::string& request)>;

    raw_searcher(event_context& loop, std::string id, script answer_script);

    /** Returns the entry that the searcher would publish in the store. */
    searcher_entry entry(const std::string& service) const;

    std::vector<std::shared_ptr<connection>> connections;

private:
    void accept();
    void read(const std::shared_ptr<connection>& source);

    std::string id_;
    script script_;
    std::uint16_t port_;
    tcp_acceptor acceptor_;
};

/** Returns the text of an answer.
    @param request_id  id that it echoes; none if empty */
std::string raw_answer(
    const std::string& signature,
    const std::string& request_id,
    const std::string& body,
    const std::string& extra_fields = {});

/** Returns the value of a field of a request's text; empty if there is none. */
std::string raw_field(const std::string& request, const std::string& name);

using raw_connection = std::shared_ptr<raw_searcher::connection>;

/** Returns a record that consists of one character. */
std::string make_record(char fill);

/** Returns the text of an answer whose body contains the request's id. */
std::string
own_answer(const std::string& request, const std::string& extra_fields = {});

/** Returns the text of a rejection, which says that the request has not run. */
std::string
rejection(const std::string& request, const std::string& extra_fields);

} // namespace turmericlane::tests
