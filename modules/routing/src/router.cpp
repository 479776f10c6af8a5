#include "hickorypost/routing/router.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hickorypost::routing {

namespace {

/// Minimum weight of the newest answer in the moving average of a backend server's latency factor.
/// The first answers have more weight.
constexpr double min_latency_gain = 0.01;
/// Weight of the newest load report in the moving average of the other entries' requests. Reports
/// arrive late and the load changes faster than they arrive, so only their average is meaningful.
constexpr double report_gain = 0.02;
/// The weight of the n-th answer is 1 / (initial_answer_weight + n), but at least
/// min_latency_gain.
constexpr double initial_answer_weight = 10;
/// Weight of the newest answer in the moving average of the time of whole answers.
constexpr double total_gain = 0.005;
/// Latency factors up to this one are treated as 1.
constexpr double min_applied_latency_factor = 1.5;
/// Limits of the latency factor of a single answer.
constexpr double min_latency_factor = 0.25;
constexpr double max_latency_factor = 50;
/// At the beginning of the slow start, the expected time is raised by this factor times the load
/// per slot.
constexpr double slow_start_penalty = 4.0;
constexpr std::size_t max_prefix_slots = 1U << 18U;

struct policy_name {
    policy how;
    std::string_view name;
};

constexpr std::array policies{policy_name{policy::expected_time, "expected_time"},
                              policy_name{policy::random, "random"},
                              policy_name{policy::round_robin, "round_robin"},
                              policy_name{policy::least_in_flight, "least_in_flight"},
                              policy_name{policy::power_of_two, "power_of_two"}};

} // namespace

std::optional<policy> parse_policy(std::string_view name) noexcept
{
    for (const auto& it : policies) {
        if (it.name == name) {
            return it.how;
        }
    }
    return std::nullopt;
}

router::router(router_options options, random_fn random)
    : options_{options}, random_{std::move(random)}
{
}

router::backend_state* router::find(const backend_id& id)
{
    const auto it = slot_of_.find(id);
    return it == slot_of_.end() ? nullptr : &*backends_[it->second];
}

void router::index_offers(std::size_t slot)
{
    for (const auto& it : backends_[slot]->offers) {
        pools_[it].push_back(slot);
    }
}

void router::unindex_offers(std::size_t slot)
{
    for (const auto& it : backends_[slot]->offers) {
        std::erase(pools_[it], slot);
    }
}

void router::upsert(const wire::agent_info& agent, instant now)
{
    auto& known = backends_of_agent_[agent.node];
    for (const auto& id : std::vector<backend_id>{known}) {
        const bool kept = std::any_of(agent.backends.begin(), agent.backends.end(),
                                      [&](const auto& it) { return it.name == id.backend; });
        if (!kept) {
            remove_backend(id);
            std::erase(known, id);
        }
    }
    for (const auto& info : agent.backends) {
        const backend_id id{agent.node, info.name};
        backend_state* state = find(id);
        if (state == nullptr) {
            std::size_t slot = backends_.size();
            if (!free_slots_.empty()) {
                slot = free_slots_.back();
                free_slots_.pop_back();
            } else {
                backends_.emplace_back();
            }
            backends_[slot].emplace();
            slot_of_[id] = slot;
            known.push_back(id);
            state = &*backends_[slot];
            state->id = id;
            state->slow_start_from = now;
        }
        const std::size_t slot = slot_of_[id];
        if (state->agent_life != agent.life) {
            state->slow_start_from = now;
            state->prefixes.clear();
        }
        unindex_offers(slot);
        state->agent_life = agent.life;
        state->offers = info.offers;
        state->slots = std::max(1U, info.slots);
        state->leaving = info.leaving || agent.leaving;
        index_offers(slot);
    }
}

void router::remove_backend(const backend_id& id)
{
    const auto it = slot_of_.find(id);
    if (it == slot_of_.end()) {
        return;
    }
    unindex_offers(it->second);
    backends_[it->second].reset();
    free_slots_.push_back(it->second);
    slot_of_.erase(it);
}

void router::remove(const node_id& agent)
{
    const auto it = backends_of_agent_.find(agent);
    if (it == backends_of_agent_.end()) {
        return;
    }
    for (const auto& id : it->second) {
        remove_backend(id);
    }
    backends_of_agent_.erase(it);
}

void router::set_linked(const node_id& agent, bool linked, instant now)
{
    const auto known = backends_of_agent_.find(agent);
    if (known == backends_of_agent_.end()) {
        return;
    }
    for (const auto& id : known->second) {
        backend_state* state = find(id);
        if (linked && !state->linked) {
            // The requests and the load from before the link loss may be gone, so the slow start
            // begins again and the old load estimate is dropped.
            state->slow_start_from = now;
            state->others_in_flight = 0;
        }
        state->linked = linked;
    }
}

bool router::usable(const backend_state& it, const route_query& query, instant now) const
{
    if (!it.linked || it.leaving) {
        return false;
    }
    // After a failure, a backend server gets no request during its probation and then one request
    // at a time until one succeeds, so that a recovering server is not overloaded.
    if (it.failures > 0 && (now < it.probation_until || it.probe_in_flight)) {
        return false;
    }
    return std::find(query.excluded.begin(), query.excluded.end(), it.id) == query.excluded.end();
}

double router::load_of(const backend_state& it) const
{
    return static_cast<double>(it.own_in_flight) + it.others_in_flight;
}

double router::modelled_us(const backend_state& it, const route_query& query) const
{
    const auto& profile = options_.profile;
    const double slots = static_cast<double>(it.slots);
    const double load = load_of(it);
    const double running = std::min(load, slots);
    const bool cached = query.prefix != 0 && it.prefixes.contains(query.prefix);
    const double prompt = query.prompt_tokens * profile.per_prompt_token_us *
                          (cached ? 1.0 - profile.cached_prompt_share : 1.0);
    // A request waits half a step on average until the next step begins. That step processes the
    // prompt.
    const double step = profile.step_us + profile.per_sequence_us * (running + 1.0);
    const double queue = std::max(0.0, load + 1.0 - slots) / slots * mean_total_us_;
    return 1.5 * step + prompt + queue;
}

double router::expected_us(const backend_state& it, const route_query& query, instant now) const
{
    // Small differences of the latency factor are noise. Following them would concentrate requests
    // on the backend server with the lowest factor.
    const double latency_factor =
        it.latency_factor > min_applied_latency_factor ? it.latency_factor : 1.0;
    double expected =
        (modelled_us(it, query) + options_.profile.slowdown_per_request_us * load_of(it)) *
        latency_factor;
    const double slow_start_time = static_cast<double>(micros{options_.slow_start}.count());
    const double online_time = static_cast<double>((now - it.slow_start_from).count());
    if (online_time < slow_start_time) {
        const double slots = static_cast<double>(it.slots);
        expected *= 1.0 + slow_start_penalty * (1.0 - online_time / slow_start_time) *
                              (load_of(it) / slots);
    }
    return expected;
}

std::optional<std::size_t> router::choose_from(const std::vector<std::size_t>& pool,
                                               const route_query& query, instant now)
{
    const auto scan = [&](auto&& score) {
        std::optional<std::size_t> best;
        double best_score = std::numeric_limits<double>::infinity();
        const std::size_t offset = pool.empty() ? 0 : random_() % pool.size();
        for (std::size_t n = 0; n < pool.size(); ++n) {
            const std::size_t slot = pool[(n + offset) % pool.size()];
            const auto& it = *backends_[slot];
            if (usable(it, query, now) && score(it) < best_score) {
                best = slot;
                best_score = score(it);
            }
        }
        return best;
    };
    const auto pick_random = [&]() -> std::optional<std::size_t> {
        // A few random samples nearly always contain a usable backend server. Otherwise, scans all.
        constexpr int max_samples = 8;
        for (int n = 0; n < max_samples && !pool.empty(); ++n) {
            const std::size_t slot = pool[random_() % pool.size()];
            if (usable(*backends_[slot], query, now)) {
                return slot;
            }
        }
        return scan([](const backend_state&) { return 0.0; });
    };
    switch (options_.how) {
    case policy::random:
        return pick_random();
    case policy::round_robin: {
        for (std::size_t n = 0; n < pool.size(); ++n) {
            const std::size_t slot = pool[next_turn_++ % pool.size()];
            if (usable(*backends_[slot], query, now)) {
                return slot;
            }
        }
        return std::nullopt;
    }
    case policy::least_in_flight:
        return scan([](const backend_state& it) { return static_cast<double>(it.own_in_flight); });
    case policy::power_of_two: {
        const auto first = pick_random();
        const auto second = pick_random();
        if (!first || !second) {
            return first;
        }
        return load_of(*backends_[*second]) < load_of(*backends_[*first]) ? second : first;
    }
    case policy::expected_time:
        break;
    }
    const auto score = [&](const backend_state& it) { return expected_us(it, query, now); };
    if (pool.size() <= options_.samples) {
        return scan(score);
    }
    std::optional<std::size_t> best;
    double best_score = std::numeric_limits<double>::infinity();
    const auto consider = [&](std::size_t slot) {
        const auto& it = *backends_[slot];
        if (const double candidate_score = score(it);
            usable(it, query, now) && candidate_score < best_score) {
            best = slot;
            best_score = candidate_score;
        }
    };
    for (std::size_t n = 0; n < options_.samples; ++n) {
        consider(pool[random_() % pool.size()]);
    }
    if (query.prefix != 0) {
        if (const auto prefix_slot = slot_of_prefix_.find(query.prefix);
            prefix_slot != slot_of_prefix_.end() && prefix_slot->second < backends_.size() &&
            backends_[prefix_slot->second] &&
            std::find(pool.begin(), pool.end(), prefix_slot->second) != pool.end()) {
            consider(prefix_slot->second);
        }
    }
    return best ? best : pick_random();
}

std::optional<route_choice> router::choose(const route_query& query, instant now)
{
    const auto pool = pools_.find(query.target);
    if (pool == pools_.end()) {
        return std::nullopt;
    }
    const auto slot = choose_from(pool->second, query, now);
    if (!slot) {
        return std::nullopt;
    }
    const auto& it = *backends_[*slot];
    const double modelled = modelled_us(it, query);
    return route_choice{it.id, it.agent_life, micros{static_cast<std::int64_t>(modelled)}};
}

void router::started(const backend_id& id, std::uint64_t prefix, instant now)
{
    backend_state* it = find(id);
    if (it == nullptr) {
        return;
    }
    ++it->own_in_flight;
    it->probe_in_flight = it->failures > 0;
    if (prefix == 0) {
        return;
    }
    if (it->prefixes.size() >= options_.max_prefixes) {
        it->prefixes.erase(it->prefixes.begin());
    }
    it->prefixes[prefix] = now;
    if (slot_of_prefix_.size() >= max_prefix_slots) {
        slot_of_prefix_.erase(slot_of_prefix_.begin());
    }
    slot_of_prefix_[prefix] = slot_of_[id];
}

void router::ended(const backend_id& id, const attempt_report& report, instant now)
{
    backend_state* it = find(id);
    if (it == nullptr) {
        return;
    }
    it->own_in_flight -= it->own_in_flight > 0 ? 1U : 0U;
    it->probe_in_flight = false;
    if (report.failed) {
        ++it->failures;
        const auto doublings = std::min(it->failures - 1U, 16U);
        const millis wait = std::min(options_.longest_probation,
                                     millis{options_.first_probation.count() << doublings});
        it->probation_until = now + wait;
        return;
    }
    it->failures = 0;
    if (!report.first_token) {
        return;
    }
    const double total = static_cast<double>(report.total.count());
    ++it->answer_count;
    const double gain = std::max(
        min_latency_gain, 1.0 / (initial_answer_weight + static_cast<double>(it->answer_count)));
    mean_total_us_ += (mean_total_us_ == 0 ? 1.0 : total_gain) * (total - mean_total_us_);
    if (report.modelled_first <= micros{0}) {
        return;
    }
    const double ratio = static_cast<double>(report.first_token->count()) /
                         static_cast<double>(report.modelled_first.count());
    it->latency_factor +=
        gain * (std::clamp(ratio, min_latency_factor, max_latency_factor) - it->latency_factor);
}

void router::apply_load_report(const backend_id& id, std::uint32_t running, std::uint32_t queued)
{
    if (backend_state* it = find(id); it != nullptr) {
        const double all = static_cast<double>(running) + static_cast<double>(queued);
        const double others_in_flight = std::max(0.0, all - static_cast<double>(it->own_in_flight));
        it->others_in_flight += report_gain * (others_in_flight - it->others_in_flight);
    }
}

void router::forget_prefix(const backend_id& id, std::uint64_t prefix)
{
    if (backend_state* it = find(id); it != nullptr) {
        it->prefixes.erase(prefix);
    }
}

std::size_t router::candidates(const model_version& target) const
{
    const auto it = pools_.find(target);
    return it == pools_.end() ? 0 : it->second.size();
}

std::uint32_t router::in_flight(const backend_id& id) const
{
    const auto it = slot_of_.find(id);
    return it == slot_of_.end() ? 0 : backends_[it->second]->own_in_flight;
}

} // namespace hickorypost::routing
