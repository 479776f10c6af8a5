#include "hickorypost/gateway/load_balancer.h"

#include "hickorypost/base/ids.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Probability that the preferred engine (by rendezvous hashing) has a part cached that this
/// process did not send there.
constexpr double home_trust = 0.9;
/// Weight of the newest service time in the running mean.
constexpr double service_time_weight = 0.1;
constexpr double micros_per_milli = 1000;
/// Saturation backoff after a refusal for lack of room.
constexpr millis full_time{60};
/// Cost of a backend server on probation or saturated: used only where no other is left.
constexpr double last_resort_ms = 1e6;
/// Cost of a failure ratio of 1 above the margin.
constexpr double failure_cost_ms = 400;

std::uint64_t part_key(const prompt_part& part, const std::string& model)
{
    return hash_bytes(model, part.id);
}

/// What is left of a weight of 1 after `idle`.
double decay(micros idle, millis half_life)
{
    return std::exp2(-static_cast<double>(to_millis(idle)) /
                     static_cast<double>(half_life.count()));
}

/// Parts that requests share: all but the last, which is the request's own.
std::span<const prompt_part> shared_parts(const job_size& job)
{
    return job.parts.empty() ? std::span<const prompt_part>{}
                             : std::span{job.parts}.first(job.parts.size() - 1);
}

} // namespace

load_balancer::load_balancer(balancer_settings settings, std::string own_domain, random_fn random,
                             changed_fn changed)
    : settings_{settings}, own_domain_{std::move(own_domain)}, random_{std::move(random)},
      changed_{std::move(changed)}, slot_ms_{settings.slot_ms}
{
}

void load_balancer::set_options(std::span<const backend_entry* const> candidates)
{
    options_.clear();
    for (const auto* it : candidates) {
        options_.push_back({it, &loads_[it->record.id]});
    }
}

void load_balancer::set_part_keys(const job_size& job)
{
    part_keys_.clear();
    for (const auto& part : shared_parts(job)) {
        part_keys_.push_back(part_key(part, job.model));
    }
}

const backend_entry* load_balancer::home() const
{
    const backend_entry* out = nullptr;
    std::uint64_t highest = 0;
    for (const auto& it : options_) {
        if (part_keys_.empty() || !settings_.home_by_hash) {
            break;
        }
        const std::uint64_t rank = hash_bytes(it.entry->record.id, part_keys_.back());
        if (out == nullptr || rank > highest) {
            highest = rank;
            out = it.entry;
        }
    }
    return out;
}

double load_balancer::cached_tokens(const backend_load& load, const job_size& job, bool is_home,
                                    instant now) const
{
    double out = 0;
    for (std::size_t n = 0; n < part_keys_.size(); ++n) {
        const auto used = load.parts.find(part_keys_[n]);
        const bool kept = used != load.parts.end() && now < used->second + settings_.prefix_memory;
        if (!kept && !is_home) {
            return out; // parts after one that is not cached are prefilled too
        }
        out += job.parts[n].tokens * (kept ? 1.0 : home_trust);
    }
    return out;
}

double load_balancer::prefill_ms(const job_size& job, double cached) const
{
    constexpr double thousand = 1000;
    const double fresh = std::max(0.0, job.prompt_tokens - cached) / thousand;
    const double all = job.prompt_tokens / thousand;
    return job.pace *
           (fresh * thousand / settings_.prompt_tokens_per_ms + settings_.square_ms * fresh * all);
}

double load_balancer::cost_ms(const option& at, const job_size& job, const comparison& all,
                              instant now) const
{
    const backend_entry& it = *at.entry;
    const backend_load& load = *at.load;
    const remote_load& others = load.others;
    const double running = load.requests + others.requests;
    const double slots = std::max<std::uint32_t>(1, it.record.slots);
    double out = it.record.failure_domain == own_domain_ ? 0 : settings_.other_domain_ms;
    if (job.prompt_tokens > 0) {
        out += settings_.bad_way_ms * ways_.excess(it.record.failure_domain, now);
        const double reading = load.prefill_ms + others.prefill_ms + prefill_ms(job, 0);
        const double noticed = std::max(0.0, reading - settings_.unnoticed_reading_ms);
        out += reading;
        out += running * (settings_.stream_ms + settings_.held_up_ms * noticed);
        if (settings_.waits_for_slots && running >= slots) {
            out += (running - slots + 1) * slot_ms_ / slots;
        }
    } else {
        out += expected_service_ms(load, all, now) * (1 + running / slots);
    }
    out += job.suspect ? running * settings_.suspect_beside_ms : 0;
    out += failure_cost_ms *
           std::max(0.0, failures_now(load, now) - all.failures - settings_.failure_margin);
    out += static_cast<double>(it.record.cold_ms) > 0 ? settings_.service_ms : 0;
    if (now < load.probation_until || now < load.full_until) {
        out += last_resort_ms;
    }
    return out;
}

double load_balancer::expected_service_ms(const backend_load& load, const comparison& all,
                                          instant now) const
{
    if (load.service_ms <= 0) {
        return all.service_ms;
    }
    return all.service_ms + (load.service_ms - all.service_ms) *
                                decay(now - load.asked_at, settings_.service_half_life);
}

double load_balancer::failures_now(const backend_load& load, instant now) const
{
    const micros idle = now - load.asked_at - settings_.failure_hold;
    return load.failure_ratio * decay(std::max(micros{0}, idle), settings_.failure_half_life);
}

load_balancer::comparison load_balancer::compare(instant now) const
{
    comparison out;
    for (const auto& it : options_) {
        out.failures += failures_now(*it.load, now) / static_cast<double>(options_.size());
        // One that was never measured counts as the fastest known, or it would not be tried.
        const double known = it.load->service_ms;
        if (known > 0 && (out.service_ms == 0 || known < out.service_ms)) {
            out.service_ms = known;
        }
    }
    if (out.service_ms == 0) {
        out.service_ms = settings_.service_ms;
    }
    return out;
}

const backend_entry* load_balancer::choose(std::span<const backend_entry* const> candidates,
                                           const job_size& job, std::span<const std::string> tried,
                                           instant now)
{
    set_options(candidates);
    set_part_keys(job);
    const auto* const at_home = home();
    const comparison all = compare(now);
    const double token_ms = settings_.prefix_weight * job.pace / settings_.prompt_tokens_per_ms;
    const backend_entry* best = nullptr;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& it : options_) {
        if (std::find(tried.begin(), tried.end(), it.entry->record.id) != tried.end()) {
            continue;
        }
        double cost = cost_ms(it, job, all, now);
        cost -= token_ms * cached_tokens(*it.load, job, it.entry == at_home, now);
        // Random tie-breaking: processes with the same reports do not all choose the same.
        cost += unit_random(random_);
        if (cost < lowest) {
            lowest = cost;
            best = it.entry;
        }
    }
    return best;
}

load_balancer::ticket load_balancer::started(const backend_entry& on, const job_size& job,
                                             instant now)
{
    backend_load& load = loads_[on.record.id];
    set_part_keys(job);
    const double cached = cached_tokens(load, job, false, now);
    for (const auto key : part_keys_) {
        load.parts[key] = now;
    }
    constexpr std::size_t parts_before_cleaning = 2000;
    if (load.parts.size() > parts_before_cleaning) {
        std::erase_if(load.parts,
                      [&](const auto& it) { return now > it.second + settings_.prefix_memory; });
    }
    load.requests += 1;
    load.failure_ratio = failures_now(load, now);
    load.service_trust *=
        decay(now - std::exchange(load.asked_at, now), settings_.service_half_life);
    const double reading = prefill_ms(job, cached);
    load.prefill_ms += reading;
    changed_(on.record.id, {load.requests, load.prefill_ms});
    if (load.probation_until > now) {
        load.probation_until = now + settings_.longest_probation; // one try at a time
    }
    return {on.record.id, reading, job.prompt_tokens > 0, false, now, on.record.failure_domain,
            false};
}

void load_balancer::on_first_event(ticket& it, instant now)
{
    if (it.first_seen) {
        return;
    }
    it.first_seen = true;
    it.first_at = now;
    backend_load& load = loads_[it.backend];
    load.prefill_ms = std::max(0.0, load.prefill_ms - it.prefill_ms);
    changed_(it.backend, {load.requests, load.prefill_ms});
    load.misses = 0;
    load.probation_until = {};
    if (!it.streaming) {
        const double took = static_cast<double>((now - it.started).count()) / micros_per_milli;
        const double weight = 1 - (1 - service_time_weight) * load.service_trust;
        load.service_ms =
            load.service_ms == 0 ? took : load.service_ms + weight * (took - load.service_ms);
        load.service_trust = 1;
    }
}

void load_balancer::on_stream_events(ticket& it, std::uint64_t events, micros gap, instant now)
{
    if (ways_.is_stall(gap, events)) {
        it.held_up = true;
        ways_.saw(it.failure_domain, true, now);
    }
}

void load_balancer::ended(ticket& it, attempt_result how, instant now)
{
    backend_load& load = loads_[it.backend];
    load.requests = std::max(0.0, load.requests - 1);
    if (!it.first_seen) {
        load.prefill_ms = std::max(0.0, load.prefill_ms - it.prefill_ms);
    }
    changed_(it.backend, {load.requests, load.prefill_ms});
    if (it.streaming && it.first_seen) {
        const double kept = static_cast<double>((now - it.first_at).count()) / micros_per_milli;
        slot_ms_ += service_time_weight * (kept - slot_ms_);
        if (!it.held_up) {
            ways_.saw(it.failure_domain, false, now);
        }
    }
    const auto learn = [&](double failed) {
        load.failure_ratio += settings_.failure_weight * (failed - load.failure_ratio);
    };
    switch (how) {
    case attempt_result::answered:
        learn(0);
        break;
    case attempt_result::failed:
        learn(1);
        break;
    case attempt_result::refused:
        load.full_until = now + full_time;
        break;
    case attempt_result::unreachable: {
        learn(1);
        const auto grown = settings_.first_probation * (1U << std::min(load.misses, 5U));
        load.probation_until = now + std::min(grown, settings_.longest_probation);
        ++load.misses;
        break;
    }
    case attempt_result::dropped:
        break;
    }
}

millis load_balancer::prefill_left(const std::string& backend) const
{
    const auto found = loads_.find(backend);
    if (found == loads_.end()) {
        return millis{0};
    }
    const backend_load& load = found->second;
    return millis{static_cast<std::int64_t>(load.prefill_ms + load.others.prefill_ms)};
}

void load_balancer::set_remote_load(const std::string& backend, const remote_load& others)
{
    loads_[backend].others = settings_.heeds_others ? others : remote_load{};
}

void load_balancer::forget(const std::string& backend)
{
    loads_.erase(backend);
}

} // namespace hickorypost::gateway
