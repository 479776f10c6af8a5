#include "hickorypost/gateway/decision_settings.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hickorypost::gateway {

namespace {

using all_settings = decision_settings;

/// Longer than any request, in multiples of its targets.
constexpr double never = 1e6;

constexpr std::array table{
    mechanism{"cold_start_hold", "requests wait while a started process learns the newest state",
              [](all_settings& it) { it.start_hold = millis{0}; }},
    mechanism{"failure_margin", "backend servers that fail more often than others are avoided",
              [](all_settings& it) { it.balancer.failure_margin = 1; }},
    mechanism{"held_up_streams", "long prompts go where they hold up few streams",
              [](all_settings& it) { it.balancer.held_up_ms = 0; }},
    mechanism{"home_engine", "prompts with shared parts meet on one engine by hashing",
              [](all_settings& it) { it.balancer.home_by_hash = false; }},
    mechanism{"late_answers", "a larger model that would be late is asked only in need",
              [](all_settings& it) { it.models.weighs_lateness = false; }},
    mechanism{"liveness_probe", "engines whose responses have stalled are probed",
              [](all_settings& it) { it.exchange.probe_silent_backends = false; }},
    mechanism{"middle_model", "models between the smallest and the largest",
              [](all_settings& it) { it.models.uses_middle = false; }},
    mechanism{"other_hosts_work", "what other processes have on backend servers",
              [](all_settings& it) { it.balancer.heeds_others = false; }},
    mechanism{"own_domain", "backend servers of the own failure domain first",
              [](all_settings& it) { it.balancer.other_domain_ms = 0; }},
    mechanism{"pace_test", "a new version is judged by its pace beside the old one's",
              [](all_settings& it) {
                  it.judge.min_paced_answers = std::numeric_limits<std::uint64_t>::max();
              }},
    mechanism{"prefix_memory", "which engine has lately read a prompt's parts",
              [](all_settings& it) { it.balancer.prefix_memory = millis{0}; }},
    mechanism{"pressure", "larger models are asked less while first events are slow",
              [](all_settings& it) { it.models.feels_pressure = false; }},
    mechanism{"probation", "backend servers that cannot be reached are left alone for a while",
              [](all_settings& it) {
                  it.balancer.first_probation = millis{0};
                  it.balancer.longest_probation = millis{0};
              }},
    mechanism{"resume", "broken streams go on at another backend server",
              [](all_settings& it) { it.exchange.resumes = false; }},
    mechanism{"run_times", "a larger model is asked only if its answer will be whole in time",
              [](all_settings& it) { it.models.weighs_time = false; }},
    mechanism{"silence", "a silent backend server is left before the request's time is over",
              [](all_settings& it) {
                  it.exchange.silence_factor = never;
                  it.exchange.plain_silence_factor = never;
              }},
    mechanism{"slot_wait", "waiting for a slot counts as long as slots are kept",
              [](all_settings& it) { it.balancer.waits_for_slots = false; }},
    mechanism{"way_quality", "failure domains from which streams are held up are dearer",
              [](all_settings& it) { it.balancer.bad_way_ms = 0; }},
};

} // namespace

std::span<const mechanism> mechanisms()
{
    return table;
}

const mechanism* find_mechanism(std::string_view name)
{
    const auto it = std::find_if(table.begin(), table.end(),
                                 [&](const mechanism& known) { return known.name == name; });
    return it == table.end() ? nullptr : &*it;
}

} // namespace hickorypost::gateway
