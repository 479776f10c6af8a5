#include "hickorypost/gateway/load_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

namespace {

bool is_zero(const remote_load& it)
{
    return it.requests <= 0 && it.prefill_ms <= 0 && it.speed.weight <= 0;
}

} // namespace

void load_table::update_total(row& it, const std::string& backend)
{
    it.total = {};
    for (const auto& [source, part] : it.loads_by_source) {
        it.total.requests += part.requests;
        it.total.prefill_ms += part.prefill_ms;
        it.total.speed += part.speed;
        it.total.tokens += part.tokens;
    }
    if (significance(it) >= 1) {
        changed_.insert(backend);
    }
}

double load_table::significance(const row& it) const
{
    const double scale = std::max(1.0, static_cast<double>(rows_.size()) /
                                           static_cast<double>(settings_.precise_backends));
    const auto ratio = [](double a, double b, double threshold) {
        return std::abs(a - b) / threshold;
    };
    // Tokens have no threshold of their own: they change together with prefill or requests.
    double out = std::max(
        ratio(it.total.prefill_ms, it.reported.prefill_ms, scale * settings_.min_prefill_change_ms),
        ratio(it.total.requests, it.reported.requests, scale * settings_.min_requests_change));
    if (it.total.speed.weight > 0) {
        const double speed = it.reported.speed.mean_ms();
        out = std::max(out, speed <= 0 ? 1
                                       : ratio(it.total.speed.mean_ms(), speed,
                                               settings_.min_speed_change * speed));
    }
    return out;
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
    return changed_.contains(backend);
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

std::map<std::string, load_table::row>::iterator
load_table::reported(std::map<std::string, row>::iterator it)
{
    it->second.reported = it->second.total;
    changed_.erase(it->first);
    return it->second.loads_by_source.empty() ? rows_.erase(it) : std::next(it);
}

std::vector<std::string> load_table::take_changed(std::size_t limit)
{
    std::vector<std::string> out{changed_.begin(), changed_.end()};
    if (out.size() > limit) {
        std::vector<std::pair<double, std::string>> ranked;
        ranked.reserve(out.size());
        for (auto& backend : out) {
            const double rank = significance(rows_.at(backend));
            ranked.emplace_back(rank, std::move(backend));
        }
        std::sort(ranked.rbegin(), ranked.rend());
        ranked.resize(limit);
        out.clear();
        for (auto& [rank, backend] : ranked) {
            out.push_back(std::move(backend));
        }
    }
    for (const auto& backend : out) {
        reported(rows_.find(backend));
    }
    return out;
}

std::vector<std::string> load_table::take_rotation(std::size_t limit)
{
    std::vector<std::string> out;
    auto it = rows_.upper_bound(rotated_to_);
    for (std::size_t left = std::min(limit, rows_.size()); left > 0; --left) {
        it = it == rows_.end() ? rows_.begin() : it;
        out.push_back(it->first);
        it = reported(it);
    }
    rotated_to_ = out.empty() ? std::string{} : out.back();
    return out;
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
