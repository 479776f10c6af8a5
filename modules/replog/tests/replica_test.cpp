#include "sim_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace hickorypost;
using testing::sim_cluster;

constexpr millis patience{20'000};

void expect_sound(sim_cluster& cluster)
{
    for (const auto& it : cluster.violations()) {
        BOOST_ERROR(it);
    }
}

bool elect(sim_cluster& cluster)
{
    return cluster.run_until([&] { return cluster.leader().has_value(); }, patience);
}

/// Proposes until `n` more commands are acknowledged.
bool commit(sim_cluster& cluster, std::size_t n, const std::string& prefix)
{
    const std::size_t wanted = cluster.acknowledged().size() + n;
    std::size_t tries = 0;
    return cluster.run_until(
        [&] {
            if (cluster.acknowledged().size() < wanted) {
                cluster.propose(prefix + std::to_string(tries++));
            }
            return cluster.acknowledged().size() >= wanted;
        },
        patience);
}

void heal_all(sim_cluster& cluster)
{
    cluster.faults.loss = 0;
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        cluster.isolate(n, false);
        cluster.restart(n);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica)

BOOST_AUTO_TEST_CASE(three_fresh_hosts_found_one_group)
{
    sim_cluster cluster{3, 1};
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 5, "a"));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// The founder's disk is lost while the others are down for a moment. If it founded again, a second
// group would forget everything; it has to wait and come back as a learner.
BOOST_AUTO_TEST_CASE(a_wiped_founder_never_founds_a_second_group)
{
    sim_cluster cluster{3, 2};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 5, "a"));
    cluster.run_for(millis{500});
    cluster.lose_disk(0);
    cluster.crash(1);
    cluster.crash(2);
    cluster.restart(0);
    cluster.run_for(millis{3000});
    BOOST_TEST(!cluster.leader().has_value());
    cluster.restart(1);
    cluster.restart(2);
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_whole(); }, patience));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// A host loses its disk, is repaired, and right after that a second host is lost for good. All
// that was acknowledged must still be served by the two that are left.
BOOST_DATA_TEST_CASE(a_second_loss_right_after_a_repair_loses_nothing,
                     data::xrange(3) * data::xrange(3) * data::xrange(4), first, second, seed)
{
    if (first == second) {
        BOOST_TEST(true); // the same host again is the case of one loss
        return;
    }
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 10};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 25, "a"));
    cluster.lose_disk(static_cast<std::size_t>(first));
    BOOST_REQUIRE(commit(cluster, 5, "b"));
    cluster.restart(static_cast<std::size_t>(first));
    BOOST_REQUIRE(cluster.run_until([&] { return cluster.all_voters_whole(); }, patience));
    cluster.lose_disk(static_cast<std::size_t>(second));
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 5, "c"));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// A repaired host has just heard that it votes again when the leader goes down for good. The third
// host has not heard of that change. The repaired one has the longer log, so it has to be elected
// by the third, in whose configuration it does not vote yet; else the two would wait for ever.
BOOST_DATA_TEST_CASE(a_vote_is_given_to_a_member_not_heard_of_yet, data::xrange(20), seed)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 200};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 5, "a"));
    const std::size_t lead = *cluster.leader();
    const std::size_t repaired = (lead + 1) % 3;
    const std::size_t third = (lead + 2) % 3;
    cluster.lose_disk(repaired);
    cluster.restart(repaired);
    // Cut the third host off as soon as the removal of the lost disk has committed.
    const instant end = cluster.now() + patience;
    const auto& core = cluster.core(lead);
    while (cluster.now() < end &&
           (core.config().voters.size() != 2 || core.commit_index() < core.last_index())) {
        cluster.run_for(millis{1});
    }
    cluster.cut(lead, third, true);
    BOOST_REQUIRE(cluster.run_until(
        [&] { return cluster.core(repaired).role() == replog::replica_role::follower; }, patience));
    cluster.crash(lead);
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 3, "b"));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// The leader is cut off silently and does not know. It must stop leading before another can act,
// and what it accepted without a quorum must not be acknowledged.
BOOST_DATA_TEST_CASE(a_cut_off_leader_stops_before_another_acts, data::xrange(8), seed)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 40};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    const std::size_t old = *cluster.leader();
    cluster.isolate(old, true);
    cluster.propose("lost");
    BOOST_TEST(cluster.run_until(
        [&] { return cluster.leader().has_value() && *cluster.leader() != old; }, patience));
    BOOST_TEST(commit(cluster, 3, "b"));
    cluster.isolate(old, false);
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_whole(); }, patience));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// The leader process is stopped (SIGSTOP, a long pause of its machine) past its lease and goes on
// as if nothing had happened, with its clock jumped ahead.
BOOST_DATA_TEST_CASE(a_frozen_leader_wakes_without_its_lease, data::xrange(8), seed)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 60};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    cluster.freeze(*cluster.leader(), millis{1500});
    BOOST_TEST(cluster.run_until([&] { return cluster.leader().has_value(); }, patience));
    BOOST_TEST(commit(cluster, 3, "b"));
    cluster.run_for(millis{3000});
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_whole(); }, patience));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// Leader and one follower cannot hear each other, the third host hears both and is restarted again
// and again. The cut-off follower asks it for votes. Were they given within the leader's lease,
// two hosts would answer reads at once.
BOOST_DATA_TEST_CASE(a_partial_cut_elects_no_second_lease, data::xrange(12) * data::xrange(2), seed,
                     restarts)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 90};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    const std::size_t lead = *cluster.leader();
    const std::size_t cut_off = (lead + 1) % 3;
    const std::size_t between = (lead + 2) % 3;
    cluster.cut(lead, cut_off, true);
    cluster.cut(cut_off, lead, true);
    for (int n = 0; n < 40; ++n) {
        if (restarts == 1) {
            cluster.crash(between);
            cluster.restart(between);
        }
        cluster.run_for(millis{60 + seed});
    }
    expect_sound(cluster);
}

BOOST_AUTO_TEST_CASE(leadership_is_handed_over_without_an_election_timeout)
{
    sim_cluster cluster{3, 5};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    const std::size_t old = *cluster.leader();
    cluster.hand_over(old);
    BOOST_TEST(cluster.run_until(
        [&] { return cluster.leader().has_value() && *cluster.leader() != old; }, millis{150}));
    expect_sound(cluster);
}

namespace {

/// Faults of every kind in any order, over a lossy, reordering and duplicating network with slow
/// disks. Disks are lost only while all voters are whole, as two lost disks of three cannot be
/// survived by any group of three.
void run_random_faults(sim_cluster& cluster, std::uint64_t seed, int rounds)
{
    const auto random = seeded_random_fn(seed);
    const std::size_t hosts = cluster.size();
    cluster.faults = {
        .loss = 0.03, .duplicate = 0.05, .max_delay_us = 15'000, .max_sync_us = 25'000};
    for (int round = 0; round < rounds; ++round) {
        const std::size_t host = random() % hosts;
        switch (random() % 11) {
        case 0:
            cluster.crash(host);
            break;
        case 1:
            cluster.freeze(host, millis{static_cast<std::int64_t>(random() % 900)});
            break;
        case 2:
            cluster.isolate(host, true);
            break;
        case 3:
            cluster.cut(host, (host + 1) % hosts, true);
            break;
        case 4:
            if (cluster.all_voters_whole()) {
                cluster.lose_disk(host);
            }
            break;
        case 5:
            if (cluster.alive(host)) {
                cluster.hand_over(host);
            }
            break;
        case 6:
        case 7:
            cluster.crash(host);
            cluster.run_for(millis{static_cast<std::int64_t>(random() % 30)});
            cluster.restart(host);
            break;
        default:
            heal_all(cluster);
        }
        for (int n = 0; n < 4; ++n) {
            cluster.read_everywhere();
            cluster.propose("r" + std::to_string(round) + "." + std::to_string(n));
            cluster.run_for(millis{static_cast<std::int64_t>(random() % 60)});
        }
    }
    heal_all(cluster);
}

} // namespace

BOOST_DATA_TEST_CASE(random_faults_break_no_promise, data::xrange(400), seed)
{
    sim_cluster cluster{seed % 4 == 0 ? 5U : 3U, static_cast<std::uint64_t>(seed) + 1000};
    BOOST_REQUIRE(elect(cluster));
    run_random_faults(cluster, static_cast<std::uint64_t>(seed) + 5000, 60);
    const bool whole = cluster.run_until([&] { return cluster.all_voters_whole(); }, patience);
    BOOST_TEST(whole);
    if (!whole) {
        BOOST_TEST_MESSAGE(cluster.describe());
    }
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// Four disks, three votes, replicas that vote at once after a start. Whatever fails, nothing that
// was acknowledged is lost, and no read is older than what was acknowledged before it began.
BOOST_DATA_TEST_CASE(spare_hosts_and_early_votes_break_no_promise, data::xrange(200), seed)
{
    sim_cluster cluster{{.hosts = 4, .founders = 3, .vote_at_start = true, .replace_silent = true},
                        static_cast<std::uint64_t>(seed) + 1000};
    BOOST_REQUIRE(elect(cluster));
    run_random_faults(cluster, static_cast<std::uint64_t>(seed) + 9000, 60);
    const bool whole = cluster.run_until([&] { return cluster.all_voters_whole(); }, patience);
    BOOST_TEST(whole);
    if (!whole) {
        BOOST_TEST_MESSAGE(cluster.describe());
    }
    cluster.check_nothing_lost();
    BOOST_TEST(cluster.reads_answered() > 0U);
    expect_sound(cluster);
}

// A voter goes down for good. The spare disk takes its place; then a second voter may go too.
BOOST_DATA_TEST_CASE(a_spare_host_takes_a_silent_voters_place, data::xrange(10), seed)
{
    sim_cluster cluster{{.hosts = 4, .founders = 3, .vote_at_start = true, .replace_silent = true},
                        static_cast<std::uint64_t>(seed) + 40};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 12, "a"));
    cluster.run_for(millis{1000});
    cluster.crash(1);
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_whole(); }, millis{4000}));
    cluster.crash(2);
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 5, "b"));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// All hosts lose power and come back. Nobody can hold a lease, so a leader is there within a few
// heartbeats rather than after an election timeout.
BOOST_DATA_TEST_CASE(early_votes_elect_soon_after_power_comes_back, data::xrange(10), seed)
{
    sim_cluster cluster{{.hosts = 3, .vote_at_start = true}, static_cast<std::uint64_t>(seed) + 60};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    for (std::size_t n = 0; n < 3; ++n) {
        cluster.crash(n);
    }
    for (std::size_t n = 0; n < 3; ++n) {
        cluster.restart(n);
    }
    BOOST_TEST(cluster.run_until([&] { return cluster.leader().has_value(); }, millis{450}));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// All hosts are killed and come back at once. Links are not up yet when the first of them asks for
// votes; callers are held until there is a leader, so it asks again soon, not after a whole
// election timeout.
BOOST_DATA_TEST_CASE(early_votes_are_asked_again_while_links_come_up, data::xrange(10), seed)
{
    constexpr std::size_t hosts = 5;
    constexpr millis links_down{300};
    sim_cluster cluster{{.hosts = hosts,
                         .vote_at_start = true,
                         .election_min = millis{600},
                         .election_max = millis{1100}},
                        static_cast<std::uint64_t>(seed) + 80};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    for (std::size_t n = 0; n < hosts; ++n) {
        cluster.crash(n);
        cluster.isolate(n, true);
    }
    for (std::size_t n = 0; n < hosts; ++n) {
        cluster.restart(n);
    }
    cluster.run_for(links_down);
    for (std::size_t n = 0; n < hosts; ++n) {
        cluster.isolate(n, false);
    }
    BOOST_TEST(cluster.run_until([&] { return cluster.leader().has_value(); }, millis{200}));
    cluster.check_nothing_lost();
    expect_sound(cluster);
}

// The check of reads itself: a leader is cut off, a follower restarts and votes at once, and the
// other leader acknowledges more. Answers under the old one's lease must be noticed as too old.
BOOST_AUTO_TEST_CASE(reads_without_a_quorums_word_are_noticed)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 0; seed < 200 && found == 0; ++seed) {
        sim_cluster cluster{{.hosts = 3, .vote_at_start = true}, seed + 1000};
        cluster.trusting_reads = true;
        BOOST_REQUIRE(elect(cluster));
        BOOST_REQUIRE(commit(cluster, 3, "a"));
        const std::size_t old = *cluster.leader();
        cluster.isolate(old, true);
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != old) {
                cluster.crash(n);
                cluster.restart(n);
            }
        }
        for (int n = 0; n < 60; ++n) {
            for (std::size_t host = 0; host < 3; ++host) {
                if (host != old && cluster.core(host).role() == replog::replica_role::leader) {
                    cluster.propose("b" + std::to_string(n));
                }
            }
            cluster.run_for(millis{10});
            cluster.read_everywhere();
        }
        found += cluster.violations().size();
    }
    BOOST_TEST(found > 0U);
}

// The checks themselves: with disks that lie about syncing, some schedule must be found in which an
// acknowledged command is gone.
BOOST_AUTO_TEST_CASE(lying_disks_are_noticed)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 0; seed < 60 && found == 0; ++seed) {
        sim_cluster cluster{3, seed + 1000};
        cluster.lying_disks = true;
        if (!elect(cluster)) {
            continue;
        }
        run_random_faults(cluster, seed + 5000, 60);
        cluster.run_until([&] { return cluster.all_voters_whole(); }, millis{5000});
        cluster.check_nothing_lost();
        found += cluster.violations().size();
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
