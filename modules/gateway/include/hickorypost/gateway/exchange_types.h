#pragma once
/// A request, its attempts, and the ports through which bytes come and go.

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/backend_limits.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/http1/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::gateway {

/// A caller's request, decoded. One attempt of its caller, whose retries are new requests.
struct caller_request {
    std::string id; ///< as the caller sent it
    std::string method;
    std::string target; ///< path with query
    std::string host;
    http1::field_list fields; ///< what is passed on unchanged
    std::string body;
    std::string key;            ///< of the client account; never passed on
    std::optional<millis> wait; ///< how long the caller will wait, from its sending on
    std::string model;          ///< empty: names none
    bool any_model = false;     ///< the gateway chooses among the route's models
    double prompt_tokens = 0;
    double output_tokens = 0; ///< the caller's bound or estimate
    std::vector<prompt_part> parts;
    std::optional<std::uint64_t> last_event_id; ///< the caller goes on with a stream after this
    std::string session;
    bool keep_alive = true;
    instant arrived; ///< when the whole request had been read
};

/// What one attempt tells its backend server besides the caller's request.
struct attempt_order {
    std::string backend; ///< name of the one that must answer
    std::string account; ///< empty: the caller is not identified
    millis wait{0};      ///< what is left of the time
    std::string model;   ///< empty: as the caller named it
    int priority = 0;    ///< 0 is the most urgent
    std::optional<std::uint64_t> last_event_id;
};

/// A backend server's answer as far as its head tells.
struct backend_answer {
    unsigned status = 0;
    bool ran = true; ///< false: it says that the request did not run there and never will
    bool wrong_backend = false; ///< another incarnation has the address
    bool signed_body = false;   ///< carries the signature without which a success is worth nothing
    bool encoded = false;       ///< the body is not the backend server's own
    std::string request_id;     ///< whose answer it is
    std::optional<double> confidence; ///< 0 to 1: the model's opinion of its answer
    limit_statement limit;
};

/// Why an attempt ended without a complete answer.
enum class attempt_fault : std::uint8_t {
    not_sent, ///< no byte of the request left this process: it did not run
    no_room,  ///< nor here: all connections that this process may have there are taken
    silent,   ///< the connection hung or died without an answer
    broken,   ///< cut short, or bytes that are no answer
};

std::string_view describe(attempt_fault fault) noexcept;

/// What an attempt reports. Calls come from the main context, never from within `attempt_port`.
class attempt_events {
public:
    virtual ~attempt_events() = default;
    /// False: the head answers another request; the attempt skips that answer and reads on.
    virtual bool on_head(http1::response_head& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The answer is whole. Nothing follows.
    virtual void on_complete() = 0;
    /// Nothing follows.
    virtual void on_fault(attempt_fault fault) = 0;
};

/// One request on its way to a backend server. Destroying it cancels what still runs.
class attempt {
public:
    virtual ~attempt() = default;
    virtual void set_reading(bool on) = 0;
};

/// Where and what to send.
struct attempt_target {
    std::string backend;
    std::string address;
    std::string service;
    std::uint32_t max_connections = 0; ///< of the backend server, from all callers together
};

/// Carries attempts; the only port that knows about connections.
class attempt_port {
public:
    virtual ~attempt_port() = default;
    virtual std::unique_ptr<attempt> start(const attempt_target& target, std::string head,
                                           std::string_view body, bool bodyless,
                                           attempt_events& events) = 0;
};

/// The caller's connection, as the exchange sees it. Never destroys the exchange from within a
/// call.
class caller_port {
public:
    virtual ~caller_port() = default;
    /// A whole answer at once.
    virtual void respond(http1::response_head head, std::string body) = 0;
    /// An answer in pieces: `begin`, `piece` and either `end` or `break_off`, which must leave the
    /// answer visibly incomplete.
    virtual void begin(http1::response_head head) = 0;
    virtual void piece(std::string_view bytes) = 0;
    virtual void end() = 0;
    virtual void break_off() = 0;
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] virtual std::size_t unsent() const = 0;
};

namespace detail {

[[nodiscard]] constexpr bool is_success(unsigned status) noexcept
{
    constexpr unsigned first_success = 200;
    constexpr unsigned first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

} // namespace detail

/// Timers of the main context.
class scheduler {
public:
    virtual ~scheduler() = default;
    virtual std::uint64_t add(instant due, std::function<void()> hook) = 0;
    virtual void cancel(std::uint64_t which) = 0;
};

} // namespace hickorypost::gateway
