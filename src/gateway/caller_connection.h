#pragma once

#include "gateway/caller_server.h"

namespace hickorypost {

/// Server side of one caller's HTTP/1.1 connection. Reads requests one at a time and writes their
/// answers.
class caller_connection final : public gateway::caller_port,
                                public net::pollable,
                                public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(caller_server& server, int fd);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Reads what has arrived; the connection may be closed afterwards.
    void start();
    /// Ends the exchange and closes the connection at once.
    void close();
    /// Whether a request has been read completely and its answer is not complete.
    [[nodiscard]] bool busy() const noexcept { return busy_; }
    /// Whether a request has been read completely and is held until `options::may_handle`.
    [[nodiscard]] bool held() const noexcept { return held_; }
    /// Whether neither a request is in flight nor an answer unsent, so that nothing happens until
    /// the caller sends something or closes the connection.
    [[nodiscard]] bool waits_for_caller() const noexcept
    {
        return !busy_ && stream_->unsent() == 0;
    }
    /// When a request or the time between two began.
    [[nodiscard]] instant waits_since() const noexcept { return waits_since_; }
    /// Lowers the kernel's send buffer, if it was raised and is empty.
    void lower_send_buffer();
    /// When the request was read completely.
    [[nodiscard]] instant arrived() const noexcept { return arrived_; }
    /// Passes the request to `options::handle`.
    void dispatch();
    /// Ends the request with an immediate answer, because the process is about to exit.
    void finish_request();
    /// Passes on that a request or a prompt part has become refused.
    void suspects_changed();
    /// See `exchange::host_drains`.
    void host_drains();
    /// Whether the caller may not have received its whole answer yet.
    [[nodiscard]] bool answer_pending() const noexcept
    {
        return busy_ || lingering_ || stream_->unsent() > 0;
    }
    /// Whether no request has begun or arrived and no answer is pending.
    [[nodiscard]] bool idle() const
    {
        return !answer_pending() && !parser_.begun() && stream_->is_quiet();
    }

    void respond(http1::response_head head, std::string body) override;
    void begin(http1::response_head head) override;
    void piece(std::string_view bytes) override;
    void end() override;
    void break_off() override;
    [[nodiscard]] std::size_t unsent() const override { return stream_->unsent(); }
    /// Adds the bytes that are held for the connection.
    void add_to(buffered_bytes& sum) const;
    [[nodiscard]] bool is_closed() const override { return closed_; }
    void confirm_waiting(millis limit, std::function<void(bool waits)> done) override;

    void ready(std::uint32_t) override {}
    /// Runs at the end of the main loop iteration in which an answer was completed; only then the
    /// exchange may be destroyed.
    void flush() override;

private:
    void on_bytes(std::string_view bytes);
    /// Reads on, unless enough is buffered behind the request in flight.
    void read_or_pause();
    void advance();
    void reject(http1::parse_fault fault);
    void on_request();
    void on_answer_complete();
    /// Accounts for the memory of the request. Returns whether there is room for the rest of it.
    bool account_request();
    /// Writes what must not wait for the end of the turn, and accounts for what the socket refuses.
    void account_answer();
    /// Sizes the kernel's buffers for a large request or answer, as far as memory allows.
    void raise_receive_buffer();
    void fit_send_buffer();
    void set_send_buffer(std::size_t bytes);
    /// What the kernel may hold of a large request or answer.
    [[nodiscard]] std::size_t raised_receive_bytes() const noexcept;
    [[nodiscard]] std::size_t raised_send_bytes() const noexcept;
    /// Bytes that the caller may send before the answer to its previous request.
    [[nodiscard]] std::size_t max_pipelined_bytes() const;
    /// Rejects a request that is being read because memory is short.
    void reject_for_memory();
    void arm_timer();
    void on_timeout();
    void close_when_sent();
    /// Waits for the caller to close its side.
    void linger();
    void close_after(millis limit);
    /// Reports a connection that ends while an answer is pending.
    void report_loss(bool by_caller);
    /// Whether the next request, if there is one, comes on this connection.
    [[nodiscard]] bool stays_open() const;
    /// The caller sends nothing more. It may still read the answers to its requests, or it may have
    /// closed the connection. Returns whether an answer is still to be sent.
    bool on_input_ended();
    /// Continues `confirm_waiting`, which gives up at `due`.
    void poll_confirmation(instant due);
    void end_confirmation(bool waits);
    /// The caller has closed the connection or it has failed.
    void on_ended(net::stream_end how);

    caller_server& server_; ///< not to be used once `closed_`: the server may have been destroyed
    net::poller& poller_;
    gateway::scheduler& timers_;
    std::unique_ptr<net::tcp_stream> stream_;
    http1::request_parser parser_;
    std::unique_ptr<gateway::exchange> exchange_;
    std::uint64_t timer_ = 0;
    std::uint64_t confirmation_timer_ = 0;
    std::function<void(bool waits)> confirmation_done_; ///< set during `confirm_waiting`
    instant arrived_;
    instant waits_since_;
    gateway::buffer_share request_share_;
    gateway::buffer_share answer_share_;
    gateway::buffer_share raised_share_; ///< part of the two above that the kernel may hold
    net::socket_buffers least_buffers_;
    net::socket_buffers socket_buffers_; ///< as they are now
    bool sends_large_answer_ = false;    ///< until the caller has received it
    std::size_t dispatched_bytes_ = 0;   ///< memory of the request in flight, without its head
    std::string request_;                ///< see `connection_loss::request`
    std::size_t head_bytes_written_ = 0; ///< of the answer, by `confirm_waiting`
    bool busy_ = false;
    bool held_ = false;
    bool keep_alive_ = true;
    bool bodyless_ = false;        ///< the answer to HEAD has no body
    bool is_http_1_1_ = true;      ///< see `http1::request_head`
    bool resets_ = false;          ///< the caller can tell only by a reset that the answer is cut
    bool answer_begun_ = false;    ///< the head of the answer has been written
    bool answer_complete_ = false; ///< `flush` prepares for the next request or closes
    bool input_ended_ = false;     ///< no further bytes of the caller follow
    bool closed_ = false;
    bool waits_for_reader_ = false;  ///< takes no request while its caller reads no answer
    bool closing_when_sent_ = false; ///< closes once the complete answer has been sent
    bool lingering_ = false;         ///< the answer is sent; waits for the caller to close
    bool timing_request_ = false;    ///< `timer_` limits reading a request, not the idle time
};

} // namespace hickorypost
