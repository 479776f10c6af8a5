#pragma once

#include "hickorypost/base/time.h"

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::telemetry {

/// W3C trace context: which trace a hop belongs to, and its parent span.
/// Source: https://www.w3.org/TR/trace-context/
struct trace_context {
    std::string trace_id; ///< 32 hex digits
    std::string span_id;  ///< 16 hex digits
    bool sampled = true;

    /// Reads a `traceparent` header; nothing if it is malformed.
    static std::optional<trace_context> parse(std::string_view header);
    static trace_context make_new(const random_fn& random);
    [[nodiscard]] trace_context child(const random_fn& random) const;
    [[nodiscard]] std::string header() const;
};

struct span_attribute {
    std::string key;
    std::string value;
};

/// One hop of a request, from `started_ms` on.
struct span {
    trace_context context;
    std::string parent_span_id;
    std::string name;
    std::int64_t started_us = 0; ///< wall clock
    std::int64_t ended_us = 0;
    std::vector<span_attribute> attributes;
    bool failed = false;
};

/// Writes spans to a file as OTLP/JSON lines, one export request a line, which collectors read.
/// There is no OpenTelemetry package for C++ in Debian, hence this small exporter.
class span_exporter {
public:
    /// No path: spans are dropped.
    span_exporter(const std::string& path, std::string service, std::string node);
    ~span_exporter();
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;

    [[nodiscard]] bool active() const noexcept { return file_ != nullptr; }
    void write(const span& it);

private:
    std::FILE* file_ = nullptr;
    std::string service_;
    std::string node_;
};

} // namespace hickorypost::telemetry
