#include "hickorypost/routing/router.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hickorypost::routing {

namespace {

/// Weight of the newest answer in the running mean of a backend server's slowness, at most; its
/// first answers count more.
constexpr double learning_gain = 0.01;
/// Weight of the newest load report in the mean of what others have there. Reports are late and the
/// load changes faster than they come: only their average says anything.
constexpr double report_gain = 0.02;
/// Answers after which the first impression of a backend server counts like any other.
constexpr double first_answers = 10;
/// Weight of the newest answer in the mean time of whole answers.
constexpr double total_gain = 0.005;
constexpr double noticeable_slowness = 1.5;
constexpr double least_slowness = 0.25;
constexpr double most_slowness = 50;
/// A slow-starting backend server looks at most this much busier than it is.
constexpr double slow_start_penalty = 4.0;
constexpr std::size_t max_prefix_homes = 1U << 18U;

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
    auto& known = of_agent_[agent.node];
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
            state->since = now;
        }
        const std::size_t slot = slot_of_[id];
        if (state->life != agent.life) {
            state->since = now;
            state->prefixes.clear();
        }
        unindex_offers(slot);
        state->life = agent.life;
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
    const auto it = of_agent_.find(agent);
    if (it == of_agent_.end()) {
        return;
    }
    for (const auto& id : it->second) {
        remove_backend(id);
    }
    of_agent_.erase(it);
}

void router::set_linked(const node_id& agent, bool linked, instant now)
{
    const auto known = of_agent_.find(agent);
    if (known == of_agent_.end()) {
        return;
    }
    for (const auto& id : known->second) {
        backend_state* state = find(id);
        if (linked && !state->linked) {
            // What ran here before may be gone, and so may its load: begin with little.
            state->since = now;
            state->others = 0;
        }
        state->linked = linked;
    }
}

bool router::usable(const backend_state& it, const route_query& query, instant now) const
{
    if (!it.linked || it.leaving) {
        return false;
    }
    // One probe at a time while a failing backend server is on probation: recovering servers are
    // asked, not flooded.
    if (it.failures > 0 && (now < it.probation_until || it.probing)) {
        return false;
    }
    return std::find(query.excluded.begin(), query.excluded.end(), it.id) == query.excluded.end();
}

double router::load_of(const backend_state& it) const
{
    return static_cast<double>(it.own) + it.others;
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
    // On average half a step passes until the next one begins; that one reads the prompt in.
    const double step = profile.step_us + profile.per_sequence_us * (running + 1.0);
    const double queue = std::max(0.0, load + 1.0 - slots) / slots * total_us_;
    return 1.5 * step + prompt + queue;
}

double router::expected_us(const backend_state& it, const route_query& query, instant now) const
{
    // Small differences in measured speed are noise; following them would crowd whoever looks best.
    const double slowness = it.slowness > noticeable_slowness ? it.slowness : 1.0;
    double expected =
        (modelled_us(it, query) + options_.profile.crowding_us * load_of(it)) * slowness;
    const double full = static_cast<double>(micros{options_.slow_start}.count());
    const double here = static_cast<double>((now - it.since).count());
    if (here < full) {
        const double slots = static_cast<double>(it.slots);
        expected *= 1.0 + slow_start_penalty * (1.0 - here / full) * (load_of(it) / slots);
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
    const auto draw = [&]() -> std::optional<std::size_t> {
        // A few draws nearly always meet a usable one; a full scan covers the rest.
        constexpr int draws = 8;
        for (int n = 0; n < draws && !pool.empty(); ++n) {
            const std::size_t slot = pool[random_() % pool.size()];
            if (usable(*backends_[slot], query, now)) {
                return slot;
            }
        }
        return scan([](const backend_state&) { return 0.0; });
    };
    switch (options_.how) {
    case policy::random:
        return draw();
    case policy::round_robin: {
        for (std::size_t n = 0; n < pool.size(); ++n) {
            const std::size_t slot = pool[turn_++ % pool.size()];
            if (usable(*backends_[slot], query, now)) {
                return slot;
            }
        }
        return std::nullopt;
    }
    case policy::least_in_flight:
        return scan([](const backend_state& it) { return static_cast<double>(it.own); });
    case policy::power_of_two: {
        const auto first = draw();
        const auto second = draw();
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
        if (const double s = score(it); usable(it, query, now) && s < best_score) {
            best = slot;
            best_score = s;
        }
    };
    for (std::size_t n = 0; n < options_.samples; ++n) {
        consider(pool[random_() % pool.size()]);
    }
    if (query.prefix != 0) {
        if (const auto home = prefix_home_.find(query.prefix);
            home != prefix_home_.end() && home->second < backends_.size() &&
            backends_[home->second] &&
            std::find(pool.begin(), pool.end(), home->second) != pool.end()) {
            consider(home->second);
        }
    }
    return best ? best : draw();
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
    return route_choice{it.id, it.life, micros{static_cast<std::int64_t>(modelled)}};
}

void router::started(const backend_id& id, std::uint64_t prefix, instant now)
{
    backend_state* it = find(id);
    if (it == nullptr) {
        return;
    }
    ++it->own;
    it->probing = it->failures > 0;
    if (prefix == 0) {
        return;
    }
    if (it->prefixes.size() >= options_.remembered_prefixes) {
        it->prefixes.erase(it->prefixes.begin());
    }
    it->prefixes[prefix] = now;
    if (prefix_home_.size() >= max_prefix_homes) {
        prefix_home_.erase(prefix_home_.begin());
    }
    prefix_home_[prefix] = slot_of_[id];
}

void router::ended(const backend_id& id, const attempt_report& report, instant now)
{
    backend_state* it = find(id);
    if (it == nullptr) {
        return;
    }
    it->own -= it->own > 0 ? 1U : 0U;
    it->probing = false;
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
    ++it->answers;
    const double gain =
        std::max(learning_gain, 1.0 / (first_answers + static_cast<double>(it->answers)));
    total_us_ += (total_us_ == 0 ? 1.0 : total_gain) * (total - total_us_);
    if (report.modelled_first <= micros{0}) {
        return;
    }
    const double ratio = static_cast<double>(report.first_token->count()) /
                         static_cast<double>(report.modelled_first.count());
    it->slowness += gain * (std::clamp(ratio, least_slowness, most_slowness) - it->slowness);
}

void router::apply_load_report(const backend_id& id, std::uint32_t running, std::uint32_t queued)
{
    if (backend_state* it = find(id); it != nullptr) {
        const double all = static_cast<double>(running) + static_cast<double>(queued);
        const double others = std::max(0.0, all - static_cast<double>(it->own));
        it->others += report_gain * (others - it->others);
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
    return it == slot_of_.end() ? 0 : backends_[it->second]->own;
}

} // namespace hickorypost::routing
