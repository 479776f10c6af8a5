#pragma once

#include "hickorypost/gateway/buffer_budget.h"
#include "hickorypost/net/timer.h"

#include <libsoup/soup.h>
#include <memory>

namespace hickorypost {

/// Limits of the request bodies that an HTTP server holds.
struct body_limits {
    std::size_t body_bytes = 0; ///< of one body
    /// Of all bodies that are being read or handled.
    std::shared_ptr<gateway::buffer_budget> all_bodies =
        std::make_shared<gateway::buffer_budget>(0);
    /// Within this time after its head, a body has to be complete.
    millis read_timeout{30'000};

    /// For bodies of up to `bytes`, which together may take an eighth of the machine's memory.
    static body_limits of_machine(std::size_t bytes);
};

/// Limits the body of one request while it is read. Owned by its message.
class request_body_limit {
public:
    /// Begins once the head of `message` has been read. Answers the request at once if its body is
    /// too large or there is no memory for it.
    static void apply(SoupServerMessage* message, const body_limits& limits);

    request_body_limit(SoupServerMessage* message, const body_limits& limits);
    request_body_limit(const request_body_limit&) = delete;
    request_body_limit& operator=(const request_body_limit&) = delete;

private:
    static void on_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data);
    static void on_read(SoupServerMessage* message, gpointer data);
    /// Accounts for `bytes` of the body, and refuses the request if they are too many.
    void take(std::size_t bytes);
    void refuse(unsigned status, const char* body);
    void stop_reading();

    SoupServerMessage* message_;
    body_limits limits_;
    gateway::buffer_share share_;
    net::timer timer_;
    std::size_t received_ = 0;
    bool refused_ = false;
};

} // namespace hickorypost
