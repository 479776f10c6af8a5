#pragma once

#include "gateway/caller_server.h"

namespace hickorypost {

/// One caller's connection: reads requests one after the other and writes their answers.
class caller_connection final : public gateway::caller_port,
                                public net::pollable,
                                public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(caller_server& server, int fd);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    void start();
    void close();
    /// A whole request has been read and is not answered.
    [[nodiscard]] bool busy() const noexcept { return busy_; }
    /// A whole request waits until it may be handled.
    [[nodiscard]] bool held() const noexcept { return held_; }
    /// Hands the request over.
    void dispatch();
    /// Answers the request at once, as the process is about to exit.
    void finish_request();
    /// The caller may not have received all of the last answer.
    [[nodiscard]] bool owes_answer() const noexcept
    {
        return busy_ || lingering_ || stream_->unsent() > 0;
    }
    /// Nothing of a request has come, and the caller is owed no answer.
    [[nodiscard]] bool idle() const noexcept { return !owes_answer() && !parser_.begun(); }

    void respond(http1::response_head head, std::string body) override;
    void begin(http1::response_head head) override;
    void piece(std::string_view bytes) override;
    void end() override;
    void break_off() override;
    [[nodiscard]] std::size_t unsent() const override { return stream_->unsent(); }

    void ready(std::uint32_t) override {}
    /// Runs after the turn in which an answer ended, when the exchange may be destroyed.
    void flush() override;

private:
    void take(std::string_view bytes);
    void advance();
    void refuse(http1::parse_fault fault);
    void take_request();
    void answered();
    void arm_timer();
    void time_passed();
    void close_when_sent();
    void linger();
    void close_after(millis limit);
    void report_loss(bool by_caller);
    void gone();

    caller_server& server_;
    std::unique_ptr<net::tcp_stream> stream_;
    http1::request_parser parser_;
    std::unique_ptr<gateway::exchange> exchange_;
    std::uint64_t timer_ = 0;
    instant arrived_;
    std::string request_; ///< as in `connection_loss`
    bool busy_ = false;
    bool held_ = false;
    bool keep_alive_ = true;
    bool bodyless_ = false;  ///< the answer to HEAD has no body
    bool turn_over_ = false; ///< the answer is complete; `flush` clears up
    bool closed_ = false;
    bool sending_rest_ = false; ///< the answer is complete; the connection closes once it is sent
    bool lingering_ = false;    ///< the answer is sent; waits for the caller to close
    bool head_timer_ = false;   ///< the timer bounds a request that has begun
};

} // namespace hickorypost
