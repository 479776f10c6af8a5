#pragma once
/// What comes from a caller, and what goes back.

#include "hickorypost/base/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::dispatch {

/// A caller's message; header values are as they came, empty where there was none.
struct caller_input {
    std::string method;
    std::string path;
    std::string key_sha256; ///< of the bearer key; empty without one
    std::string idempotency_key;
    std::string timeout_ms;
    std::string non_idempotent;
    std::string session;
    std::string task;
    std::string traceparent;
    std::string body;
};

struct answer_header {
    std::string name;
    std::string value;
};

/// What a caller is told about a request that gave no whole answer.
enum class told_outcome : std::uint8_t {
    not_run, ///< no backend server started it, and none will
    failed,  ///< it ran, and its answer is lost or incomplete
    unknown, ///< it may have run
};

enum class flow_timer : std::uint8_t { deadline, link };

/// How a flow reaches its caller and its timers.
struct caller_hooks {
    std::function<void(unsigned status, std::string_view content_type,
                       const std::vector<answer_header>&, std::string_view body)>
        respond;
    std::function<void(std::string_view content_type, const std::vector<answer_header>&)>
        start_stream;
    std::function<void(std::string_view)> write;
    std::function<void()> finish_stream;
    std::function<void(flow_timer, millis)> start_timer;
    std::function<void(flow_timer)> stop_timer;
    std::function<void()> over; ///< once, when nothing is left to do
};

} // namespace hickorypost::dispatch
