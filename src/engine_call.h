#pragma once

#include "hickorypost/dispatch/agent_core.h"
#include "hickorypost/net/gobject_ptr.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/wire/messages.h"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>
#include <string_view>

namespace hickorypost {

struct engine_call_hooks {
    std::function<void(std::uint32_t http_status, std::string_view content_type)> head;
    std::function<void(std::string_view bytes)> bytes;
    std::function<void(const dispatch::call_result&)>
        over; ///< once, unless the call is destroyed before
};

/// Reads token usage out of an answer as it passes: the `usage` object of the chat-completions
/// interface, or else one token per event.
class usage_reader {
public:
    explicit usage_reader(bool event_stream) : event_stream_{event_stream} {}
    void push(std::string_view bytes);
    [[nodiscard]] wire::usage usage() const;
    [[nodiscard]] bool done_seen() const noexcept { return done_; }
    /// The body so far of an answer that is not an event stream.
    [[nodiscard]] std::string_view plain_body() const noexcept
    {
        return event_stream_ ? std::string_view{} : std::string_view{rest_};
    }

private:
    void take_line(std::string_view line);
    void take_usage(std::string_view json);

    bool event_stream_;
    bool done_ = false;
    bool reported_ = false;
    std::string rest_;
    std::uint64_t events_ = 0;
    wire::usage usage_;
};

/// One HTTP call to a backend server. Destroying it cancels the call, which ends the engine's work.
class engine_call {
public:
    engine_call(SoupSession* session, const dispatch::backend_call& request,
                engine_call_hooks hooks);
    ~engine_call();
    engine_call(const engine_call&) = delete;
    engine_call& operator=(const engine_call&) = delete;

    void cancel(wire::run_outcome why);

private:
    struct shared_state;
    static void on_sent(GObject* source, GAsyncResult* outcome, gpointer data);
    static void on_read(GObject* source, GAsyncResult* outcome, gpointer data);
    static void read_more(std::shared_ptr<shared_state> state);
    static bool is_whole(const shared_state& state);
    static void finish(shared_state& state, wire::run_outcome outcome);

    std::shared_ptr<shared_state> state_;
    net::timer limit_timer_;
};

} // namespace hickorypost
