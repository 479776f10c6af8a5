#include "hickorypost/gateway/load_balancer.h"

#include "hickorypost/base/ids.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Probability that the preferred engine (by rendezvous hashing) has cached a part that this
/// process has not sent to it.
constexpr double preferred_hit_probability = 0.9;
/// Weight of the newest sample in the moving averages of service time and slot time.
constexpr double sample_weight = 0.1;
constexpr double micros_per_milli = 1000;
/// Doublings of a backoff beyond which every upper bound has been reached.
constexpr std::uint32_t max_doublings = 10;
/// Cost of a backend server on probation or saturated: high enough that it is used only where no
/// other is left.
constexpr double unavailable_cost_ms = 1e6;
/// Cost of an engine whose memory may run out: above that of any load, below `unavailable_cost_ms`.
constexpr double out_of_memory_cost_ms = 1e5;
/// Cost of a failure ratio that exceeds the margin by 1.
constexpr double failure_cost_ms = 400;

std::uint64_t part_key(const prompt_part& part, const std::string& model)
{
    return hash_bytes(model, part.id);
}

/// Maps a hash to a number greater than 0 and less than 1. The order of two hashes stays the same.
double unit_interval(std::uint64_t hash)
{
    constexpr unsigned mantissa_bits = 53;
    constexpr auto steps = static_cast<double>(std::uint64_t{1} << mantissa_bits);
    constexpr unsigned dropped_bits = 64 - mantissa_bits;
    return (static_cast<double>(hash >> dropped_bits) + 0.5) / steps;
}

/// A backoff that starts at `first` and doubles with each of `failures` before, up to `longest`.
millis grown_backoff(millis first, millis longest, std::uint32_t failures)
{
    return std::min(first * (1U << std::min(failures, max_doublings)), longest);
}

/// Factor of an exponential decay after `idle`.
double decay(micros idle, millis half_life)
{
    return std::exp2(-static_cast<double>(to_millis(idle)) /
                     static_cast<double>(half_life.count()));
}

} // namespace

load_balancer::load_balancer(balancer_settings settings, std::string own_domain, random_fn random,
                             changed_fn changed)
    : settings_{settings}, own_domain_{std::move(own_domain)}, random_{std::move(random)},
      changed_{std::move(changed)}, slot_ms_{settings.slot_ms}
{
}

void load_balancer::collect_candidates(std::span<const backend_entry* const> candidates)
{
    candidates_.clear();
    for (const auto* it : candidates) {
        candidates_.push_back({it, &loads_[it->record.id]});
    }
}

void load_balancer::compute_slowdowns()
{
    intervals_.clear();
    for (const auto& it : candidates_) {
        if (const double interval = it.load->speed.interval_ms(); interval > 0) {
            intervals_.push_back(interval);
        }
    }
    if (!settings_.use_engine_speed || intervals_.empty()) {
        return;
    }
    const auto middle =
        intervals_.begin() + static_cast<std::ptrdiff_t>((intervals_.size() - 1) / 2);
    std::nth_element(intervals_.begin(), middle, intervals_.end());
    for (const auto& it : candidates_) {
        it.load->slowdown = it.load->speed.slowdown(*middle);
    }
}

void load_balancer::compute_part_keys(const job_size& job)
{
    part_keys_.clear();
    for (const auto& part : shared_parts(job.parts)) {
        part_keys_.push_back(part_key(part, job.model));
    }
}

const backend_entry* load_balancer::preferred_engine() const
{
    const backend_entry* out = nullptr;
    double highest = 0;
    for (const auto& it : candidates_) {
        if (part_keys_.empty() || !settings_.use_rendezvous_hashing) {
            break;
        }
        // Weighted rendezvous hashing: an engine that is twice as fast is preferred for four times
        // as many prompts. Long prompts are most of the prefill, and on slow engines they make the
        // pauses of other streams exceed their target.
        const double uniform = unit_interval(hash_bytes(it.entry->record.id, part_keys_.back()));
        const double rank = -1 / (it.load->slowdown * it.load->slowdown * std::log(uniform));
        if (out == nullptr || rank > highest) {
            highest = rank;
            out = it.entry;
        }
    }
    return out;
}

double load_balancer::cached_tokens(const backend_load& load, const job_size& job,
                                    bool is_preferred, instant now) const
{
    double out = 0;
    for (std::size_t n = 0; n < part_keys_.size(); ++n) {
        const auto used = load.parts.find(part_keys_[n]);
        const bool cached =
            used != load.parts.end() && now < used->second + settings_.prefix_memory;
        if (!cached && !is_preferred) {
            return out; // a prefix cache cannot be used beyond its first missing part
        }
        out += job.parts[n].tokens * (cached ? 1.0 : preferred_hit_probability);
    }
    return out;
}

double load_balancer::prefill_ms(const job_size& job, double cached) const
{
    constexpr double thousand = 1000;
    const double fresh = std::max(0.0, job.prompt_tokens - cached) / thousand;
    const double all = job.prompt_tokens / thousand;
    return job.pace * (fresh * thousand / settings_.prompt_tokens_per_ms +
                       settings_.quadratic_prefill_ms * fresh * all);
}

double load_balancer::cost_ms(const candidate& at, const job_size& job, const baseline& base,
                              instant now) const
{
    const backend_entry& it = *at.entry;
    const backend_load& load = *at.load;
    const remote_load& remote = load.remote;
    const double running = load.requests + remote.requests;
    const double slots = std::max<std::uint32_t>(1, it.record.slots);
    double out = it.record.failure_domain == own_domain_ ? 0 : settings_.other_domain_ms;
    if (job.prompt_tokens > 0) {
        out += settings_.impaired_path_ms * path_quality_.excess(it.record.failure_domain, now);
        const double prefill =
            load.slowdown * (load.prefill_ms + remote.prefill_ms + prefill_ms(job, 0));
        const double disruptive = std::max(0.0, prefill - settings_.tolerated_prefill_ms);
        out += prefill;
        out += running * (load.slowdown * settings_.per_stream_ms +
                          settings_.stream_delay_factor * disruptive);
        out += lacks_memory(load, job) ? out_of_memory_cost_ms : 0;
        if (settings_.count_slot_wait && running >= slots) {
            out += (running - slots + 1) * slot_ms_ / slots;
        }
    } else {
        out += expected_service_ms(load, base, now) * (1 + running / slots);
    }
    out += job.suspect ? running * settings_.suspect_concurrency_ms : 0;
    out += failure_cost_ms * std::max(0.0, decayed_failure_ratio(load, now) - base.failures -
                                               settings_.failure_margin);
    out += backend_directory::is_cold(it, now) ? settings_.service_ms : 0;
    if (now < load.probation_until || now < load.saturated_until) {
        out += unavailable_cost_ms;
    }
    return out;
}

bool load_balancer::lacks_memory(const backend_load& load, const job_size& job) const
{
    const double tokens = load.tokens + load.remote.tokens + job.prompt_tokens + job.output_tokens;
    return job.engine_memory > 0 && tokens > settings_.memory_share * job.engine_memory;
}

double load_balancer::expected_service_ms(const backend_load& load, const baseline& base,
                                          instant now) const
{
    if (load.service_ms <= 0) {
        return base.service_ms;
    }
    return base.service_ms + (load.service_ms - base.service_ms) *
                                 decay(now - load.last_request_at, settings_.service_half_life);
}

double load_balancer::decayed_failure_ratio(const backend_load& load, instant now) const
{
    const micros idle = now - load.last_request_at - settings_.failure_hold;
    return load.failure_ratio * decay(std::max(micros{0}, idle), settings_.failure_half_life);
}

load_balancer::baseline load_balancer::compute_baseline(instant now) const
{
    baseline out;
    for (const auto& it : candidates_) {
        out.failures +=
            decayed_failure_ratio(*it.load, now) / static_cast<double>(candidates_.size());
        // An unmeasured candidate is assumed to be as fast as the fastest known; otherwise it would
        // never be tried.
        const double measured = it.load->service_ms;
        if (measured > 0 && (out.service_ms == 0 || measured < out.service_ms)) {
            out.service_ms = measured;
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
    collect_candidates(candidates);
    compute_slowdowns();
    compute_part_keys(job);
    const auto* const preferred = preferred_engine();
    const baseline base = compute_baseline(now);
    const double cached_token_value_ms =
        settings_.prefix_weight * job.pace / settings_.prompt_tokens_per_ms;
    const backend_entry* best = nullptr;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& it : candidates_) {
        if (std::find(tried.begin(), tried.end(), it.entry->record.id) != tried.end()) {
            continue;
        }
        double cost = cost_ms(it, job, base, now);
        cost -= cached_token_value_ms * cached_tokens(*it.load, job, it.entry == preferred, now);
        // Random tie-breaking, because processes with the same reports would otherwise all choose
        // the same backend server.
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
    compute_part_keys(job);
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
    load.failure_ratio = decayed_failure_ratio(load, now);
    load.service_weight *=
        decay(now - std::exchange(load.last_request_at, now), settings_.service_half_life);
    const double prefill = prefill_ms(job, cached);
    ticket out{on.record.id, prefill, job.prompt_tokens > 0, false, now, on.record.failure_domain};
    out.tokens = std::max(0.0, job.prompt_tokens - cached) + job.output_tokens;
    if (out.streaming) {
        out.expected_first_ms = expected_wait_ms(on) + calibration() * load.slowdown * prefill;
    }
    load.prefill_ms += prefill;
    load.tokens += out.tokens;
    report_change(on.record.id, load);
    if (load.probation_until > now) {
        // One attempt at a time while on probation.
        load.probation_until = now + settings_.longest_probation;
    }
    if (load.consecutive_rejections > 1) {
        // One attempt at a time until it is known whether the backend server still rejects.
        load.saturated_until = now + settings_.first_saturation_backoff;
    }
    return out;
}

double load_balancer::calibration() const
{
    return expected_first_ms_ <= 0 ? 1 : actual_first_ms_ / expected_first_ms_;
}

void load_balancer::calibrate(double expected_ms, double actual_ms)
{
    // Sums over the prior and about the last hundred first events of this process.
    constexpr double keep = 0.99;
    constexpr double prior_ms = 1000;
    if (expected_first_ms_ <= 0) {
        actual_first_ms_ = expected_first_ms_ = prior_ms;
    }
    actual_first_ms_ = keep * actual_first_ms_ + actual_ms;
    expected_first_ms_ = keep * expected_first_ms_ + expected_ms;
}

double load_balancer::expected_wait_ms(const backend_entry& on) const
{
    const auto found = loads_.find(on.record.id);
    if (found == loads_.end()) {
        return 0;
    }
    const backend_load& load = found->second;
    const double running = load.requests + load.remote.requests;
    const double slots = std::max<std::uint32_t>(1, on.record.slots);
    const double slot_wait = running < slots ? 0 : (running - slots + 1) * slot_ms_ / slots;
    return slot_wait + calibration() * load.slowdown * (load.prefill_ms + load.remote.prefill_ms);
}

double load_balancer::expected_first_event_ms(const backend_entry& on, const job_size& job,
                                              instant now)
{
    compute_part_keys(job);
    const backend_load& load = loads_[on.record.id];
    const double prefill = prefill_ms(job, cached_tokens(load, job, false, now));
    return expected_wait_ms(on) + calibration() * load.slowdown * prefill;
}

double load_balancer::least_wait_ms(std::span<const backend_entry* const> candidates,
                                    const job_size& job, instant now) const
{
    double out = std::numeric_limits<double>::max();
    for (const auto* const it : candidates) {
        const auto found = loads_.find(it->record.id);
        const bool is_usable = found == loads_.end() || (now >= found->second.probation_until &&
                                                         now >= found->second.saturated_until &&
                                                         !lacks_memory(found->second, job));
        out = is_usable ? std::min(out, expected_wait_ms(*it)) : out;
    }
    return out;
}

load_balancer::backend_view load_balancer::view(const std::string& backend) const
{
    const auto found = loads_.find(backend);
    if (found == loads_.end()) {
        return {};
    }
    const backend_load& load = found->second;
    return {load.requests + load.remote.requests, load.prefill_ms + load.remote.prefill_ms,
            load.slowdown, load.tokens + load.remote.tokens};
}

void load_balancer::report_change(const std::string& backend, const backend_load& load)
{
    changed_(backend, {load.requests, load.prefill_ms, 0, load.speed.own(), load.tokens});
}

void load_balancer::on_first_event(ticket& it, instant now)
{
    if (it.has_first_event) {
        return;
    }
    it.has_first_event = true;
    it.first_event_at = now;
    backend_load& load = loads_[it.backend];
    const double took = static_cast<double>((now - it.started).count()) / micros_per_milli;
    // Below this time, delays that do not depend on the prefill would distort the ratio.
    constexpr double min_expected_ms = 100;
    if (const double expected = it.expected_first_ms / calibration(); expected >= min_expected_ms) {
        calibrate(expected, took);
    }
    load.prefill_ms = std::max(0.0, load.prefill_ms - it.prefill_ms);
    report_change(it.backend, load);
    load.consecutive_unreachable = 0;
    load.probation_until = {};
    load.consecutive_rejections = 0;
    load.saturated_until = {};
    if (!it.streaming) {
        const double weight = 1 - (1 - sample_weight) * load.service_weight;
        load.service_ms =
            load.service_ms == 0 ? took : load.service_ms + weight * (took - load.service_ms);
        load.service_weight = 1;
    }
}

void load_balancer::on_stream_events(ticket& it, std::uint64_t events, micros gap, instant now)
{
    if (path_quality_.is_stall(gap, events)) {
        it.delayed = true;
        path_quality_.saw(it.failure_domain, true, now);
        return;
    }
    // A bounded number for each stream, so that one long stream during a slow period of its engine
    // does not fill the samples.
    constexpr std::uint32_t max_speed_samples = 6;
    if (events > 0 && it.speed_samples < max_speed_samples) {
        ++it.speed_samples;
        loads_[it.backend].speed.record(static_cast<double>(gap.count()) /
                                        (micros_per_milli * static_cast<double>(events)));
    }
}

void load_balancer::ended(ticket& it, attempt_result how, instant now)
{
    backend_load& load = loads_[it.backend];
    load.requests = std::max(0.0, load.requests - 1);
    load.tokens = std::max(0.0, load.tokens - it.tokens);
    if (!it.has_first_event) {
        load.prefill_ms = std::max(0.0, load.prefill_ms - it.prefill_ms);
    }
    report_change(it.backend, load);
    if (it.streaming && it.has_first_event) {
        const double occupied_ms =
            static_cast<double>((now - it.first_event_at).count()) / micros_per_milli;
        slot_ms_ += sample_weight * (occupied_ms - slot_ms_);
        if (!it.delayed) {
            path_quality_.saw(it.failure_domain, false, now);
        }
    }
    const auto record_outcome = [&](double failed) {
        load.failure_ratio += settings_.failure_weight * (failed - load.failure_ratio);
    };
    switch (how) {
    case attempt_result::answered:
        record_outcome(0);
        break;
    case attempt_result::failed:
        record_outcome(1);
        break;
    case attempt_result::refused:
        load.saturated_until =
            now + grown_backoff(settings_.first_saturation_backoff,
                                settings_.max_saturation_backoff, load.consecutive_rejections);
        ++load.consecutive_rejections;
        break;
    case attempt_result::unreachable: {
        record_outcome(1);
        load.probation_until =
            now + grown_backoff(settings_.first_probation, settings_.longest_probation,
                                load.consecutive_unreachable);
        ++load.consecutive_unreachable;
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
    return millis{static_cast<std::int64_t>(load.prefill_ms + load.remote.prefill_ms)};
}

bool load_balancer::is_saturated(const std::string& backend, instant now) const
{
    const auto found = loads_.find(backend);
    return found != loads_.end() && now < found->second.saturated_until;
}

void load_balancer::set_remote_load(const std::string& backend, const remote_load& remote)
{
    backend_load& load = loads_[backend];
    load.remote = settings_.use_remote_load ? remote : remote_load{};
    load.speed.set_remote(load.remote.speed);
    on_remote_load();
}

double load_balancer::remote_connections(const std::string& backend) const
{
    const auto found = loads_.find(backend);
    return found == loads_.end()
               ? 0
               : std::max(found->second.remote.connections, found->second.remote.requests);
}

void load_balancer::forget(const std::string& backend)
{
    loads_.erase(backend);
    changed_(backend, {});
}

} // namespace hickorypost::gateway
