#include "hickorypost/telemetry/span.h"

#include "hickorypost/base/ids.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickorypost::telemetry {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t header_length = 55;
constexpr std::int64_t nanos_per_micro = 1000;

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

nlohmann::json attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

} // namespace

std::optional<trace_context> trace_context::parse(std::string_view header)
{
    if (header.size() < header_length || header[2] != '-' || header[35] != '-' ||
        header[52] != '-') {
        return std::nullopt;
    }
    trace_context out;
    out.trace_id = header.substr(3, trace_id_digits);
    out.span_id = header.substr(36, span_id_digits);
    const std::string_view flags = header.substr(53, 2);
    const bool good = is_hex(header.substr(0, 2)) && header.substr(0, 2) != "ff" &&
                      is_hex(out.trace_id) && is_hex(out.span_id) && is_hex(flags) &&
                      !is_zero(out.trace_id) && !is_zero(out.span_id);
    if (!good) {
        return std::nullopt;
    }
    out.sampled = (flags[1] - '0') % 2 != 0;
    return out;
}

trace_context trace_context::make_new(const random_fn& random)
{
    return {random_hex(random), random_hex(random).substr(0, span_id_digits), true};
}

trace_context trace_context::child(const random_fn& random) const
{
    return {trace_id, random_hex(random).substr(0, span_id_digits), sampled};
}

std::string trace_context::header() const
{
    return "00-" + trace_id + "-" + span_id + (sampled ? "-01" : "-00");
}

span_exporter::span_exporter(const std::string& path, std::string service, std::string node)
    : service_{std::move(service)}, node_{std::move(node)}
{
    if (!path.empty()) {
        file_ = std::fopen(path.c_str(), "ae");
    }
}

span_exporter::~span_exporter()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

void span_exporter::write(const span& it)
{
    if (file_ == nullptr || !it.context.sampled) {
        return;
    }
    auto attributes = nlohmann::json::array();
    for (const auto& [key, value] : it.attributes) {
        attributes.push_back(attribute(key, value));
    }
    const nlohmann::json body = {
        {"traceId", it.context.trace_id},
        {"spanId", it.context.span_id},
        {"parentSpanId", it.parent_span_id},
        {"name", it.name},
        {"startTimeUnixNano", std::to_string(it.started_us * nanos_per_micro)},
        {"endTimeUnixNano", std::to_string(it.ended_us * nanos_per_micro)},
        {"attributes", attributes},
        {"status", {{"code", it.failed ? 2 : 1}}}};
    const nlohmann::json scope = {{"spans", nlohmann::json::array({body})}};
    const nlohmann::json resource = {
        {"attributes", nlohmann::json::array(
                           {attribute("service.name", service_), attribute("host.name", node_)})}};
    const nlohmann::json line = {
        {"resourceSpans",
         nlohmann::json::array(
             {{{"resource", resource}, {"scopeSpans", nlohmann::json::array({scope})}}})}};
    const std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    std::fwrite(text.data(), 1, text.size(), file_);
    std::fflush(file_);
}

} // namespace hickorypost::telemetry
