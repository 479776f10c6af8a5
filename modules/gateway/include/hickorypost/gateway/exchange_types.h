#pragma once
/// Types that the exchange shares with its collaborators: the request, its attempts, and the
/// interfaces to backend servers, callers and timers.

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/backend_backoff.h"
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

/// A decoded request of a caller. If the caller retries, each retry is a new `caller_request`.
struct caller_request {
    std::string id; ///< as the caller sent it
    std::string method;
    std::string target; ///< path with query
    std::string host;
    http1::field_list fields; ///< header fields that are forwarded unchanged
    std::string body;
    std::string key;            ///< API key of the client account; never forwarded
    std::optional<millis> wait; ///< how long the caller waits for the answer, from its sending on
    std::string model;          ///< empty: the request names no model
    bool any_model = false;     ///< the gateway chooses among the route's models
    double prompt_tokens = 0;
    double output_tokens = 0; ///< the caller's upper bound or estimate
    std::vector<prompt_part> parts;
    /// The caller resumes a stream after the event with this id.
    std::optional<std::uint64_t> last_event_id;
    std::string session;
    bool keep_alive = true;
    instant arrived; ///< when the whole request had been read
};

/// What one attempt tells its backend server in addition to the caller's request.
struct attempt_order {
    std::string backend; ///< name of the backend server that must answer
    std::string account; ///< empty: the caller is not identified
    millis wait{0};      ///< time left until the deadline
    std::string model;   ///< empty: use the model that the caller named
    int priority = 0;    ///< 0 is the most urgent
    std::optional<std::uint64_t> last_event_id;
};

/// What the head of a backend server's answer says.
struct backend_answer {
    unsigned status = 0;
    bool ran = true; ///< false: the request did not run on this backend server and never will
    bool misdirected = false; ///< the request is not for the one that answers, which says so
    std::string backend_name; ///< of the one that answers; empty if it is not named
    bool signed_body = false; ///< has the signature; a success without it is not trusted
    bool encoded = false;     ///< has a Content-Encoding, which no backend server applies
    std::string request_id;   ///< id of the request that is answered
    std::optional<double> confidence; ///< 0 to 1: how sure the model is of its answer
    limit_statement limit;
    backoff_statement backoff;
    bool leaving = false; ///< the backend server is about to shut down
};

/// Why an attempt ended without a complete answer.
enum class attempt_fault : std::uint8_t {
    not_sent, ///< no byte of the request left this process, so it did not run
    no_room,  ///< not sent either: this process uses all connections that it may have there
    /// Not sent either: while the request waited for its connection, the backend server asked for
    /// no requests, or the request became refused.
    withheld,
    silent, ///< the connection hung or was lost before an answer
    /// The backend server closed a reused connection before an answer. That says nothing about the
    /// backend server, which may close idle connections at any time.
    stale,
    stale_unsent, ///< like `stale`, and no byte of the request left this process
    broken,       ///< the answer was truncated or malformed
};

std::string_view describe(attempt_fault fault) noexcept;

/// Receives the progress of an attempt. Called from the main context, and never synchronously from
/// within a call to `attempt_port`.
class attempt_events {
public:
    virtual ~attempt_events() = default;
    /// Whether the request may still be sent, asked when a new connection is open.
    [[nodiscard]] virtual bool may_send() { return true; }
    /// Returns false if the head answers another request; the attempt then skips that answer and
    /// reads the next one.
    virtual bool on_head(http1::response_head& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The answer is complete. No further call follows.
    virtual void on_complete() = 0;
    /// The attempt failed. No further call follows.
    virtual void on_fault(attempt_fault fault) = 0;
};

/// One request in flight to a backend server. Destroying it cancels the request.
class attempt {
public:
    virtual ~attempt() = default;
    /// Pauses or continues reading the answer.
    virtual void set_reading(bool on) = 0;
    /// An answer on the attempt's connection bears the id of its request.
    virtual void note_identified_answer() = 0;
    /// Whether `note_identified_answer` was called for the connection, by this attempt or earlier.
    [[nodiscard]] virtual bool identifies_answers() const = 0;
};

/// The backend server that an attempt is sent to.
struct attempt_target {
    std::string backend;
    std::string address;
    std::string service;
    std::uint32_t max_connections = 0; ///< that the backend server accepts from all hosts together
    std::string name; ///< of the backend server, by which it tells whether a request is for it
    bool new_connection = false; ///< a kept connection must not be reused
};

/// Sends requests to backend servers and owns the connections.
class attempt_port {
public:
    virtual ~attempt_port() = default;
    /// `bodyless`: the answer has no body whatever its head says, as for HEAD.
    virtual std::unique_ptr<attempt> start(const attempt_target& target, std::string head,
                                           std::string_view body, bool bodyless,
                                           attempt_events& events) = 0;
};

/// The caller's connection, as the exchange uses it. An implementation must not destroy the
/// exchange from within one of these calls.
class caller_port {
public:
    virtual ~caller_port() = default;
    /// Sends a complete answer.
    virtual void respond(http1::response_head head, std::string body) = 0;
    /// Sends an answer in pieces: `begin`, any number of `piece`, then either `end` or `break_off`.
    /// `break_off` must leave an answer that the caller recognizes as incomplete.
    virtual void begin(http1::response_head head) = 0;
    virtual void piece(std::string_view bytes) = 0;
    virtual void end() = 0;
    virtual void break_off() = 0;
    /// Bytes that the caller's connection has not accepted yet.
    [[nodiscard]] virtual std::size_t unsent() const = 0;
    /// Whether the connection has ended, so that no answer can be delivered.
    [[nodiscard]] virtual bool is_closed() const = 0;
    /// Finds out whether the caller has kept its connection open until after this call. `done` is
    /// called once, and not from within this function: with false if the caller has closed the
    /// connection, or if that is not known after `limit`. Dropped if this host closes the
    /// connection. Not to be called again before `done`, nor after the answer has begun. A request
    /// can be confirmed up to eight times.
    virtual void confirm_waiting(millis limit, std::function<void(bool waits)> done) = 0;
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
    /// Calls `callback` once at `due`. Returns the timer's id, which is never 0.
    virtual std::uint64_t add(instant due, std::function<void()> callback) = 0;
    /// Cancels a timer. Does nothing for 0 and for timers that have fired.
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace hickorypost::gateway
