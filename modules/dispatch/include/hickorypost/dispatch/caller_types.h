#pragma once
/// Types for the request from a caller and the answer to it.

#include "hickorypost/base/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::dispatch {

/// A caller's HTTP request. Header values are unparsed, and empty if the header is absent.
struct caller_input {
    std::string method;
    std::string path;
    std::string key_sha256; ///< SHA-256 of the bearer key; empty if there is none
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

/// Execution status reported to the caller of a request without a complete answer.
enum class told_outcome : std::uint8_t {
    not_run, ///< no backend server has started it or will start it
    failed,  ///< it ran, but its answer is lost or incomplete
    unknown, ///< it may have run
};

enum class flow_timer : std::uint8_t { deadline, link };

/// Callbacks through which a `request_flow` answers its caller and sets its timers.
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
    std::function<void()> over; ///< called once, when the flow has finished
};

} // namespace hickorypost::dispatch
