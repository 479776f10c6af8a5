#include "gateway/mesh_traffic.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickorypost {

void mesh_traffic::collect(telemetry::metrics& metrics) const
{
    for (const auto& [type, bytes] : totals_) {
        const std::string label = "{message=\"" + wire::name_of(type) + "\"}";
        metrics.set("mesh_sent_bytes" + label, static_cast<double>(bytes.sent));
        metrics.set("mesh_received_bytes" + label, static_cast<double>(bytes.received));
    }
}

std::string mesh_traffic::take_summary()
{
    std::vector<std::pair<std::uint64_t, std::string>> parts;
    for (const auto& [type, total] : totals_) {
        auto& before = summarized_[type];
        const std::uint64_t sent = total.sent - before.sent;
        const std::uint64_t received = total.received - before.received;
        before = total;
        if (sent + received > 0) {
            parts.emplace_back(sent + received, wire::name_of(type) + " " + std::to_string(sent) +
                                                    "/" + std::to_string(received));
        }
    }
    std::sort(parts.rbegin(), parts.rend());
    std::string out;
    for (const auto& [bytes, text] : parts) {
        out += (out.empty() ? "" : ", ") + text;
    }
    return out;
}

} // namespace hickorypost
