#include "hickorypost/gateway/load_table.h"

#include <cmath>
#include <utility>

namespace hickorypost::gateway {

namespace {

bool is_nothing(const remote_load& it)
{
    return it.requests <= 0 && it.prefill_ms <= 0;
}

} // namespace

void load_table::add_up(row& it, const std::string& backend)
{
    it.sum = {};
    for (const auto& [source, part] : it.parts) {
        it.sum.requests += part.requests;
        it.sum.prefill_ms += part.prefill_ms;
    }
    const bool far =
        std::abs(it.sum.prefill_ms - it.told.prefill_ms) >= settings_.least_reading_ms ||
        std::abs(it.sum.requests - it.told.requests) >= settings_.least_requests;
    if (far && !std::exchange(it.moved, true)) {
        moved_.push_back(backend);
    }
}

bool load_table::set(const std::string& source, const std::string& backend, const remote_load& load)
{
    row& it = rows_[backend];
    if (is_nothing(load)) {
        it.parts.erase(source);
    } else {
        it.parts[source] = load;
    }
    add_up(it, backend);
    return it.moved;
}

std::vector<std::string> load_table::replace(const std::string& source,
                                             const std::map<std::string, remote_load>& loads)
{
    std::vector<std::string> out;
    for (const auto& [backend, it] : rows_) {
        if (it.parts.contains(source) && !loads.contains(backend)) {
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
    for (const auto& [name, part] : found->second.parts) {
        if (name != source) {
            out.requests += part.requests;
            out.prefill_ms += part.prefill_ms;
        }
    }
    return out;
}

std::vector<std::string> load_table::take_changed()
{
    for (const auto& backend : moved_) {
        const auto found = rows_.find(backend);
        found->second.told = found->second.sum;
        found->second.moved = false;
        if (found->second.parts.empty()) {
            rows_.erase(found);
        }
    }
    return std::exchange(moved_, {});
}

std::vector<std::string> load_table::all() const
{
    std::vector<std::string> out;
    for (const auto& [backend, it] : rows_) {
        if (!it.parts.empty()) {
            out.push_back(backend);
        }
    }
    return out;
}

} // namespace hickorypost::gateway
