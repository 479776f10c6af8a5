#include "hickorypost/gateway/decision_settings.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hickorypost::gateway {

namespace {

using all_settings = decision_settings;

/// A multiple of any silence limit that exceeds the duration of every request.
constexpr double disabled_silence_factor = 1e6;

constexpr std::array mechanism_table{
    mechanism{"account_shares", "accounts over their share are delayed and shed first",
              [](all_settings& it) { it.shares.enabled = false; }},
    mechanism{"admission", "new requests wait at the host while all engines have a backlog",
              [](all_settings& it) { it.exchange.admission = false; }},
    mechanism{"cold_start_hold", "requests wait while a starting process obtains the current state",
              [](all_settings& it) { it.start_hold = millis{0}; }},
    mechanism{"engine_speed", "the measured speeds of the engines count",
              [](all_settings& it) { it.balancer.use_engine_speed = false; }},
    mechanism{"failure_margin", "backend servers that fail more often than others are avoided",
              [](all_settings& it) { it.balancer.failure_margin = 1; }},
    mechanism{"held_up_streams", "long prompts go to engines where they delay few streams",
              [](all_settings& it) { it.balancer.stream_delay_factor = 0; }},
    mechanism{"home_engine",
              "prompts with shared parts go to the same engine by rendezvous hashing",
              [](all_settings& it) { it.balancer.use_rendezvous_hashing = false; }},
    mechanism{"late_answers",
              "a larger model that would miss the target is used only for very low confidence",
              [](all_settings& it) { it.models.check_target = false; }},
    mechanism{"liveness_probe", "engines whose responses have stalled are probed",
              [](all_settings& it) { it.exchange.probe_silent_backends = false; }},
    mechanism{"middle_model", "models between the smallest and the largest are used",
              [](all_settings& it) { it.models.use_middle_models = false; }},
    mechanism{"other_hosts_work", "the load that other processes report for backend servers counts",
              [](all_settings& it) { it.balancer.use_remote_load = false; }},
    mechanism{"own_domain", "backend servers in the own failure domain are preferred",
              [](all_settings& it) { it.balancer.other_domain_ms = 0; }},
    mechanism{"pace_test", "a new version is judged by its speed relative to the old version",
              [](all_settings& it) {
                  it.judge.min_paced_answers = std::numeric_limits<std::uint64_t>::max();
              }},
    mechanism{"prefix_memory", "engines that have a prompt's parts cached are preferred",
              [](all_settings& it) { it.balancer.prefix_memory = millis{0}; }},
    mechanism{"pressure", "larger models are used less while first-event latency is high",
              [](all_settings& it) { it.models.adapt_to_latency = false; }},
    mechanism{"probation", "unreachable backend servers are avoided for a backoff time",
              [](all_settings& it) {
                  it.balancer.first_probation = millis{0};
                  it.balancer.longest_probation = millis{0};
              }},
    mechanism{"resume", "interrupted streams continue on another backend server",
              [](all_settings& it) { it.exchange.resumes = false; }},
    mechanism{"run_times",
              "a larger model is used only if its answer is likely complete by the deadline",
              [](all_settings& it) { it.models.check_deadline = false; }},
    mechanism{"silence", "a silent backend server is abandoned before the request's deadline",
              [](all_settings& it) {
                  it.exchange.silence_factor = disabled_silence_factor;
                  it.exchange.plain_silence_factor = disabled_silence_factor;
              }},
    mechanism{"slot_wait", "the expected wait for a free slot counts",
              [](all_settings& it) { it.balancer.count_slot_wait = false; }},
    mechanism{"way_quality", "failure domains whose streams arrive delayed cost more",
              [](all_settings& it) { it.balancer.impaired_path_ms = 0; }},
};

} // namespace

std::span<const mechanism> mechanisms()
{
    return mechanism_table;
}

const mechanism* find_mechanism(std::string_view name)
{
    const auto it = std::find_if(mechanism_table.begin(), mechanism_table.end(),
                                 [&](const mechanism& known) { return known.name == name; });
    return it == mechanism_table.end() ? nullptr : &*it;
}

} // namespace hickorypost::gateway
