#include "hickorypost/gateway/load_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorypost::gateway {

namespace {

bool is_zero(const remote_load& it)
{
    return it.requests <= 0 && it.prefill_ms <= 0 && it.connections <= 0 && it.speed.weight <= 0;
}

} // namespace

void load_table::update_total(row& it, const std::string& backend)
{
    it.total = {};
    for (const auto& [source, part] : it.loads_by_source) {
        it.total.requests += part.requests;
        it.total.prefill_ms += part.prefill_ms;
        it.total.connections += part.connections;
        it.total.speed += part.speed;
        it.total.tokens += part.tokens;
    }
    if (must_be_reported(it) && !std::exchange(it.is_changed, true)) {
        changed_.push_back(backend);
    }
}

bool load_table::must_be_reported(const row& it) const
{
    const auto differ = [](double a, double b, double by) { return std::abs(a - b) >= by; };
    const double speed = it.reported.speed.mean_ms();
    // Tokens have no threshold of their own: they change together with prefill or requests.
    const double scale = std::max(1.0, static_cast<double>(rows_.size()) /
                                           static_cast<double>(settings_.precise_backends));
    return differ(it.total.prefill_ms, it.reported.prefill_ms,
                  scale * settings_.min_prefill_change_ms) ||
           differ(it.total.requests, it.reported.requests, scale * settings_.min_requests_change) ||
           differ(it.total.connections, it.reported.connections,
                  settings_.min_connections_change) ||
           (it.total.speed.weight > 0 &&
            differ(it.total.speed.mean_ms(), speed, settings_.min_speed_change * speed));
}

bool load_table::set(const std::string& source, const std::string& backend, const remote_load& load)
{
    row& it = rows_[backend];
    if (is_zero(load)) {
        it.loads_by_source.erase(source);
    } else {
        it.loads_by_source[source] = load;
    }
    update_total(it, backend);
    return it.is_changed;
}

std::vector<std::string> load_table::replace(const std::string& source,
                                             const std::map<std::string, remote_load>& loads)
{
    std::vector<std::string> out;
    for (const auto& [backend, it] : rows_) {
        if (it.loads_by_source.contains(source) && !loads.contains(backend)) {
            out.push_back(backend);
        }
    }
    for (const auto& backend : out) {
        set(source, backend, {});
    }
    for (const auto& [backend, load] : loads) {
        set(source, backend, load);
        out.push_back(backend);
    }
    return out;
}

remote_load load_table::without(const std::string& source, const std::string& backend) const
{
    remote_load out;
    const auto found = rows_.find(backend);
    if (found == rows_.end()) {
        return out;
    }
    for (const auto& [name, part] : found->second.loads_by_source) {
        if (name != source) {
            out.requests += part.requests;
            out.prefill_ms += part.prefill_ms;
            out.speed += part.speed;
            out.tokens += part.tokens;
        }
    }
    return out;
}

std::vector<std::string> load_table::take_changed()
{
    for (const auto& backend : changed_) {
        const auto found = rows_.find(backend);
        found->second.reported = found->second.total;
        found->second.is_changed = false;
        if (found->second.loads_by_source.empty()) {
            rows_.erase(found);
        }
    }
    return std::exchange(changed_, {});
}

std::vector<std::string> load_table::all() const
{
    std::vector<std::string> out;
    for (const auto& [backend, it] : rows_) {
        if (!it.loads_by_source.empty()) {
            out.push_back(backend);
        }
    }
    return out;
}

} // namespace hickorypost::gateway
