#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/control_state.h"
#include "hickorypost/gateway/event_splitter.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/retry_window.h"
#include "hickorypost/gateway/rollout_judge.h"
#include "hickorypost/gateway/route_table.h"
#include "hickorypost/replog/types.h"
#include "hickorypost/wire/codec.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{100'000}};

backend_record record(const std::string& id, const std::string& address, std::uint64_t sequence,
                      const std::string& version = "v1")
{
    return {id, "app", address, "d", version, 4, backend_state::ready, 0, sequence};
}

std::vector<std::string> ids_of(const std::vector<const backend_entry*>& entries)
{
    std::vector<std::string> out;
    out.reserve(entries.size());
    for (const auto* it : entries) {
        out.push_back(it->record.id);
    }
    return out;
}

std::string put(control_state& state, std::uint64_t version, const std::string& text)
{
    control_command command{control_kind::put_config, version, text, {}};
    replog::entry entry;
    entry.data = wire::encode(command);
    return state.apply(entry);
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_parts)

BOOST_AUTO_TEST_CASE(longest_matching_prefix_of_the_host_is_chosen)
{
    site_config config;
    const auto add = [&](const std::string& host, const std::string& prefix) {
        route_spec it;
        it.name = host + prefix;
        it.host = host;
        it.path_prefix = prefix;
        config.routes.push_back(it);
    };
    add("a", "/");
    add("a", "/x/");
    add("a", "/x/y/");
    add("b", "/x/");
    const route_table table{config};
    BOOST_TEST(table.find_route("a", "/x/y/z?q=/x/")->name == "a/x/y/");
    BOOST_TEST(table.find_route("A:80", "/x/q")->name == "a/x/");
    BOOST_TEST(table.find_route("a", "/z")->name == "a/");
    BOOST_TEST(table.find_route("b", "/y/") == nullptr);
    BOOST_TEST(table.find_route("c", "/x/") == nullptr);
}

// Guards against a delayed heartbeat of a crashed incarnation that replaces the incarnation now
// registered at the same address.
BOOST_AUTO_TEST_CASE(late_heartbeat_of_a_dead_incarnation_is_ignored)
{
    backend_directory it{{}};
    it.take(record("old", "h:1", 4), start);
    it.take(record("new", "h:1", 1), start + millis{100});
    it.take(record("old", "h:1", 5), start + millis{200});
    BOOST_TEST(ids_of(it.usable("app", start + millis{300})) == std::vector<std::string>{"new"});
}

// Guards against keeping the wrong one of two incarnations at an address: the one that continues to
// send heartbeats is alive.
BOOST_AUTO_TEST_CASE(incarnation_that_continues_its_heartbeats_is_used)
{
    backend_directory it{{}};
    it.take(record("old", "h:1", 4), start);
    it.take(record("new", "h:1", 1), start + millis{100});
    it.take(record("old", "h:1", 5), start + millis{200});
    it.take(record("old", "h:1", 6), start + millis{1300});
    BOOST_TEST(ids_of(it.usable("app", start + millis{1400})) == std::vector<std::string>{"old"});
}

BOOST_AUTO_TEST_CASE(draining_or_removed_backend_is_not_used_again)
{
    backend_directory it{{}};
    auto draining = record("a", "h:1", 5);
    draining.state = backend_state::draining;
    it.take(draining, start);
    it.take(record("a", "h:1", 6), start);
    BOOST_TEST(it.usable("app", start).empty());
    it.take(record("b", "h:2", 1), start);
    it.remove("b", start);
    BOOST_TEST((it.take(record("b", "h:2", 2), start) == backend_directory::change::none));
    BOOST_TEST(it.usable("app", start).empty());
}

// Guards against an outage when no heartbeats arrive, for example because the control hosts are
// down: backend servers without recent heartbeats are used if there are no others.
BOOST_AUTO_TEST_CASE(silent_backends_are_used_when_there_are_no_others)
{
    backend_directory it{{}};
    it.take(record("a", "h:1", 1), start);
    it.take(record("b", "h:2", 1), start);
    const instant later = start + millis{8000};
    BOOST_TEST(it.usable("app", later).size() == 2U);
    it.touch("b", 2, later);
    BOOST_TEST(ids_of(it.usable("app", later)) == std::vector<std::string>{"b"});
}

// Guards against a retry storm. Half of the backend servers fail at once and every request is
// retried; the retries of all processes together stay within the ratio and the slack.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_shared_budget)
{
    constexpr std::size_t processes = 4;
    const retry_window_settings settings{
        .window = millis{10'000}, .ratio = 0.5, .slack = 40, .used_part = 0.8};
    std::size_t requests = 0;
    std::size_t retries = 0;
    std::vector<retry_window> windows(processes, retry_window{settings});
    for (int step = 0; step < 900; ++step) {
        auto& it = windows[static_cast<std::size_t>(step) % processes];
        const instant now = start + millis{step * 10};
        it.request(now);
        ++requests;
        retries += it.try_retry(processes, now) ? 1U : 0U;
        retries += it.try_retry(processes, now) ? 1U : 0U;
    }
    BOOST_TEST(retries <= settings.ratio * static_cast<double>(requests) + settings.slack);
    BOOST_TEST(retries > 0.6 * settings.ratio * static_cast<double>(requests));
}

BOOST_AUTO_TEST_CASE(only_whole_events_pass_however_the_stream_is_split)
{
    const std::string text = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        event_splitter it;
        std::string out = it.push(text.substr(0, cut));
        out += it.push(text.substr(cut));
        BOOST_TEST(out == text);
        BOOST_TEST(!it.has_partial());
        BOOST_TEST(*it.last_id() == 2U);
    }
}

// Guards against overwriting a configuration by a concurrent change of equal version or by a late
// change of a lower one. The text survives a snapshot byte for byte, and the revision only rises.
BOOST_AUTO_TEST_CASE(highest_configuration_version_wins_in_any_order)
{
    control_state it;
    put(it, 5, "five");
    put(it, 5, "another five");
    put(it, 3, "three");
    BOOST_TEST(it.state().config_packed == "five");
    const auto revision = it.state().revision;
    put(it, 9, "nine");
    BOOST_TEST(it.state().config_packed == "nine");
    BOOST_TEST(it.state().revision > revision);
    control_state loaded;
    loaded.load(it.save());
    BOOST_TEST(loaded.state().config_packed == "nine");
    BOOST_TEST(loaded.state().config_version == 9U);
}

BOOST_AUTO_TEST_CASE(steps_of_a_finished_rollout_are_ignored)
{
    control_state it;
    const auto apply = [&](control_kind kind, const rollout_status& status) {
        replog::entry entry;
        entry.data = wire::encode(control_command{kind, 0, {}, status});
        it.apply(entry);
    };
    rollout_status order{"app", "v2", 10'000, rollout_phase::running, 0, 0, {}};
    apply(control_kind::begin_rollout, order);
    auto back = order;
    back.phase = rollout_phase::rolled_back;
    apply(control_kind::step_rollout, back);
    auto late = order;
    late.share_permille = 500;
    apply(control_kind::step_rollout, late);
    apply(control_kind::begin_rollout, order);
    BOOST_TEST((it.state().rollouts.at("app").phase == rollout_phase::rolled_back));
}

// Guards against a herd: processes that hold the same outdated load report must not all choose the
// same backend server.
BOOST_AUTO_TEST_CASE(equal_backends_are_chosen_about_equally)
{
    backend_directory directory{{}};
    for (int n = 0; n < 6; ++n) {
        directory.take(record("b" + std::to_string(n), "h:" + std::to_string(n), 1), start);
    }
    const auto all = directory.usable("app", start);
    std::map<std::string, int> chosen;
    for (std::uint64_t process = 0; process < 240; ++process) {
        load_balancer it{{}, "d", seeded_random_fn(process), [](const auto&, const auto&) {}};
        ++chosen[it.choose(all, {}, {}, start)->record.id];
    }
    for (const auto* it : all) {
        BOOST_TEST(chosen[it->record.id] > 15);
    }
}

// Guards against a silence that the host's log doesn't show: on-call engineers must see when this
// host stopped receiving a backend server's heartbeats, and when they resumed.
BOOST_AUTO_TEST_CASE(silence_of_a_backend_is_reported_at_its_begin_and_end)
{
    backend_directory it{{}};
    it.take(record("b", "h:1", 1), start);
    BOOST_TEST(it.expire(start + millis{5000}).empty());
    const auto lost = it.expire(start + millis{6001});
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(lost.front().silent);
    BOOST_TEST(it.silent() == 1U);
    BOOST_TEST(it.expire(start + millis{7000}).empty());
    it.touch("b", 2, start + millis{7500});
    const auto found = it.expire(start + millis{8000});
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST(!found.front().silent);
}

// Guards against sending work to failing backend servers. One refuses connections and another fails
// half of its requests: both lose traffic after a few failures, and the first is probed again
// later.
BOOST_AUTO_TEST_CASE(failing_backends_lose_traffic_early_and_are_probed_again)
{
    backend_directory directory{{}};
    for (const auto* id : {"dead", "grey", "good"}) {
        directory.take(record(id, std::string{id} + ":1", 1), start);
    }
    const auto all = directory.usable("app", start);
    load_balancer it{{}, "d", seeded_random_fn(3), [](const auto&, const auto&) {}};
    std::map<std::string, int> chosen;
    instant now = start;
    for (int n = 0; n < 400; ++n) {
        now += millis{10};
        const auto* const to = it.choose(all, {}, {}, now);
        ++chosen[to->record.id];
        auto ticket = it.started(*to, {}, now);
        if (to->record.id == "dead") {
            it.ended(ticket, attempt_result::unreachable, now);
            continue;
        }
        it.on_first_event(ticket, now + millis{20});
        const bool fails = to->record.id == "grey" && n % 2 == 0;
        it.ended(ticket, fails ? attempt_result::failed : attempt_result::answered,
                 now + millis{20});
    }
    BOOST_TEST(chosen["dead"] < 10);
    BOOST_TEST(chosen["dead"] >= 2);
    BOOST_TEST(chosen["grey"] < 120);
}

// Guards against spreading prompts with a common prefix over engines, which would lose prefix-cache
// hits. Processes that share no state choose the same engine, unless that engine is far busier than
// the others.
BOOST_AUTO_TEST_CASE(prompts_with_a_common_prefix_go_to_one_engine)
{
    backend_directory directory{{}};
    for (int n = 0; n < 8; ++n) {
        directory.take(record("b" + std::to_string(n), "h:" + std::to_string(n), 1), start);
    }
    const auto all = directory.usable("app", start);
    job_size job;
    job.prompt_tokens = 6000;
    job.model = "m";
    job.parts = {{77, 5000}, {1, 1000}};
    std::set<std::string> homes;
    for (std::uint64_t process = 0; process < 20; ++process) {
        load_balancer it{{}, "d", seeded_random_fn(process), [](const auto&, const auto&) {}};
        job.parts.back().id = process;
        homes.insert(it.choose(all, job, {}, start)->record.id);
    }
    BOOST_TEST(homes.size() == 1U);
    load_balancer busy{{}, "d", seeded_random_fn(1), [](const auto&, const auto&) {}};
    busy.set_remote_load(*homes.begin(), {60, 3000});
    BOOST_TEST(busy.choose(all, job, {}, start)->record.id != *homes.begin());
}

namespace {

/// Runs the judge in virtual time: 80 steps of 250 ms, each with 40 answers divided between both
/// versions by the current share.
struct simulated_rollout {
    rollout_status status{"app", "v2", 20'000, rollout_phase::running, 0, 0, {}};
    std::uint64_t exposed = 0;   ///< answers of the new version
    std::uint64_t new_slow = 25; ///< of 100 answers, above the old version's upper quartile
    rollout_judge judge{{}, [this](const rollout_status& it) { status = it; }};

    void run(const std::function<bool(double part, std::uint64_t n)>& new_is_bad)
    {
        std::uint64_t n = 0;
        for (int step = 0; step < 80 && status.phase == rollout_phase::running; ++step) {
            const instant now = start + millis{step * 250};
            judge.follow({{"app", status}}, now);
            rollout_view::report_row old_row{"app", "v1", {}};
            rollout_view::report_row new_row{"app", "v2", {}};
            for (std::uint64_t it = 0; it < 40; ++it, ++n) {
                const bool to_new = n % 40 < status.share_permille * 40 / 1000;
                auto& row = to_new ? new_row : old_row;
                ++row.seen.answers;
                row.seen.bad += to_new && new_is_bad(step / 80.0, n) ? 1U : 0U;
                ++row.seen.paced;
                row.seen.slow += n % 100 < (to_new ? new_slow : 25) ? 1U : 0U;
                exposed += to_new ? 1U : 0U;
            }
            judge.take(old_row, now);
            judge.take(new_row, now);
            judge.tick(now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(good_rollout_completes_in_time)
{
    simulated_rollout it;
    it.run([](double, std::uint64_t) { return false; });
    BOOST_TEST((it.status.phase == rollout_phase::completed));
    BOOST_TEST(it.status.elapsed_ms < it.status.duration_ms);
}

// Guards against missing a version four times as slow as the old one whose answers still stay below
// the limit for bad ones, and against rolling back a version that is slightly slower by chance.
BOOST_AUTO_TEST_CASE(slow_version_is_rolled_back_by_its_pace)
{
    simulated_rollout slow;
    slow.new_slow = 95;
    slow.run([](double, std::uint64_t) { return false; });
    BOOST_TEST((slow.status.phase == rollout_phase::rolled_back));
    BOOST_TEST(slow.exposed < 50U);
    simulated_rollout fair;
    fair.new_slow = 35;
    fair.run([](double, std::uint64_t) { return false; });
    BOOST_TEST((fair.status.phase == rollout_phase::completed));
}

// Guards against rolling back a good version in its last seconds. The new version has all traffic,
// on as many engines as served half of it before, so 42 of 100 of its answers are above the old
// version's upper quartile. The old version's last streams run fast on idle engines.
BOOST_AUTO_TEST_CASE(pace_is_not_compared_with_the_last_streams_of_the_old_version)
{
    rollout_status status{"app", "v2", 20'000, rollout_phase::running, 1000, 14'000, {}};
    rollout_judge judge{{}, [&](const rollout_status& it) { status = it; }};
    judge.follow({{"app", status}}, start);
    for (int step = 0; step < 12; ++step) {
        const instant now = start + millis{step * 250};
        judge.take({"app", "v2", {80, 0, 75, 32}}, now);
        judge.take({"app", "v1", {4, 0, 4, 0}}, now);
        judge.tick(now);
        judge.follow({{"app", status}}, now);
    }
    BOOST_TEST((status.phase == rollout_phase::running));
    BOOST_TEST(status.reason == "");
}

// Guards against missing a version that fails from the start, late, or only under load, and against
// sending more than 15 in 100 of all requests to such a version.
BOOST_AUTO_TEST_CASE(bad_versions_are_rolled_back_with_bounded_exposure)
{
    const auto from_start = [](double, std::uint64_t n) { return n % 2 == 0; };
    const auto late = [](double part, std::uint64_t n) { return part > 0.3 && n % 2 == 0; };
    const auto loaded = [](double part, std::uint64_t n) { return part > 0.6 && n % 2 == 0; };
    for (const auto& bad : {std::function<bool(double, std::uint64_t)>{from_start},
                            std::function<bool(double, std::uint64_t)>{late},
                            std::function<bool(double, std::uint64_t)>{loaded}}) {
        simulated_rollout it;
        it.run(bad);
        BOOST_TEST((it.status.phase == rollout_phase::rolled_back));
        BOOST_TEST(it.exposed < 80U * 40U * 15U / 100U);
    }
}

// Guards against moving a session when its next request reaches another process during the trial:
// the session must stay on the old version.
BOOST_AUTO_TEST_CASE(session_keeps_its_version_on_every_process)
{
    backend_directory directory{{}};
    directory.take(record("o", "h:1", 1, "v1"), start);
    rollout_view one{seeded_random_fn(1), millis{10'000}};
    rollout_view two{seeded_random_fn(2), millis{10'000}};
    const auto version_at = [&](rollout_view& view, const std::string& session, instant now) {
        auto candidates = directory.usable("app", now);
        view.choose_version("app", session, candidates, now);
        return candidates.front()->record.version;
    };
    for (int n = 0; n < 400; ++n) {
        version_at(one, "s" + std::to_string(n), start);
        version_at(two, "t" + std::to_string(n), start);
    }
    directory.take(record("n", "h:2", 1, "v2"), start);
    const rollout_status status{"app", "v2", 20'000, rollout_phase::running, 300, 600, {}};
    for (auto* view : {&one, &two}) {
        view->follow({{"app", status}}, start);
    }
    two.pin(one.take_pinned(start), start);
    const instant later = start + millis{2000};
    std::size_t moved = 0;
    for (int n = 0; n < 400; ++n) {
        BOOST_TEST(version_at(two, "s" + std::to_string(n), later) == "v1");
        moved += version_at(two, "new" + std::to_string(n), later) == "v2" ? 1U : 0U;
    }
    BOOST_TEST(moved > 60U);
}

// Guards against rolling back a good version because it got long prompts and large models, whose
// first events take ten times as long as the mean of the route. Response times are compared with
// the old version's for the same model and prefill time, not with that mean.
BOOST_AUTO_TEST_CASE(response_times_are_compared_for_the_same_model_and_prefill_time)
{
    rollout_view view{seeded_random_fn(1), millis{10'000}};
    view.follow({{"llm", {"llm", "v2", 20'000, rollout_phase::running, 300, 600, {}}}}, start);
    const auto answers = [&](const std::string& version, double slower) {
        for (int n = 0; n < 40; ++n) {
            const bool is_long = n % 8 == 0;
            const double reading = is_long ? 900 : 40;
            const auto took = millis{static_cast<std::int64_t>(reading * slower)};
            view.saw({"llm", "r", is_long ? "large" : "small", version, false, took, reading});
        }
    };
    const auto bad_of = [&](const std::string& version) {
        std::uint64_t out = 0;
        for (const auto& row : view.take_report()) {
            out += row.version == version ? row.seen.bad : 0;
        }
        return out;
    };
    answers("v1", 1.2);
    answers("v2", 1.5);
    BOOST_TEST(bad_of("v2") == 0U);
    answers("v2", 8);
    BOOST_TEST(bad_of("v2") == 40U);
}

// Guards against rolling back a good version that takes a third of a millisecond longer, on a host
// with cold caches, for answers of under two milliseconds. No caller notices this difference. A
// version that takes four times as long counts as slow.
BOOST_AUTO_TEST_CASE(unnoticeable_difference_of_pace_does_not_count_as_slow)
{
    rollout_view view{seeded_random_fn(1), millis{10'000}};
    view.follow({{"app", {"app", "v2", 20'000, rollout_phase::running, 300, 600, {}}}}, start);
    const auto slow_of_new = [&](micros longer) {
        for (int n = 0; n < 200; ++n) {
            const micros took{1000 + n % 20 * 20};
            view.record_pace("app", "r", "v1", took);
            view.record_pace("app", "r", "v2", took + longer);
        }
        std::uint64_t out = 0;
        for (const auto& row : view.take_report()) {
            out += row.version == "v2" ? row.seen.slow : 0;
        }
        return out;
    };
    BOOST_TEST(slow_of_new(micros{350}) == 0U);
    BOOST_TEST(slow_of_new(micros{4200}) == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
