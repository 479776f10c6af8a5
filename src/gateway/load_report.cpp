#include "gateway/load_report.h"

#include <algorithm>
#include <map>

namespace hickorypost {

std::vector<gateway::load_view::engine_row> load_report::engines() const
{
    std::vector<gateway::load_view::engine_row> out;
    for (const auto& record : directory_.all(now_())) {
        if (record.state == gateway::backend_state::gone || !has_engines_(record.service)) {
            continue;
        }
        const auto load = balancer_.view(record.id);
        // Sums that are kept by adding and subtracting may end slightly below 0.
        out.push_back({record.id, record.service, std::max(load.requests, 0.0),
                       std::max(load.prefill_ms, 0.0), load.slowdown, std::max(load.tokens, 0.0)});
    }
    return out;
}

double load_report::engine_capacity_ms_per_s() const
{
    constexpr double millis_per_second = 1000;
    double out = 0;
    for (const auto& it : engines()) {
        out += millis_per_second / it.slowdown;
    }
    return out;
}

gateway::load_view load_report::view() const
{
    gateway::load_view out;
    out.host = host_;
    out.engines = engines();
    if (sources_.waiting) {
        out.waiting = sources_.waiting();
    }
    if (sources_.rejections) {
        out.rejections = sources_.rejections();
    }
    if (sources_.accounts) {
        out.accounts = sources_.accounts();
    }
    return out;
}

void load_report::set_gauges(telemetry::metrics& metrics)
{
    double sum = 0;
    double max = 0;
    const auto rows = engines();
    for (const auto& it : rows) {
        sum += it.slowdown;
        max = std::max(max, it.slowdown);
    }
    // Without engines both are 1, the value of an engine of unknown speed.
    metrics.set("engine_slowdown{stat=\"mean\"}",
                rows.empty() ? 1 : sum / static_cast<double>(rows.size()));
    metrics.set("engine_slowdown{stat=\"max\"}", rows.empty() ? 1 : max);
    if (!sources_.waiting) {
        return;
    }
    // A gauge keeps its value until it is set again: services without a row get 0.
    std::map<std::string, std::uint64_t> waiting;
    for (const auto& service : gauged_services_) {
        waiting.emplace(service, 0);
    }
    for (const auto& it : sources_.waiting()) {
        waiting[it.service] += it.requests;
    }
    for (const auto& [service, requests] : waiting) {
        gauged_services_.insert(service);
        metrics.set("requests_waiting{service=\"" + service + "\"}", static_cast<double>(requests));
    }
}

} // namespace hickorypost
