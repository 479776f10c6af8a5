#include "sim_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace hickorypost;
using testing::sim_cluster;

constexpr millis wait_limit{20'000};

void expect_no_violations(sim_cluster& cluster)
{
    for (const auto& it : cluster.violations()) {
        BOOST_ERROR(it);
    }
}

bool elect(sim_cluster& cluster)
{
    return cluster.run_until([&] { return cluster.leader().has_value(); }, wait_limit);
}

/// Proposes commands until `n` more are acknowledged.
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
        wait_limit);
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

BOOST_AUTO_TEST_CASE(three_fresh_hosts_form_one_group)
{
    sim_cluster cluster{3, 1};
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 5, "a"));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// The first founder loses its disk and restarts while the other hosts are down. If it founded the
// group again, a second group without the acknowledged commands would exist. It must wait and
// rejoin as a learner.
BOOST_AUTO_TEST_CASE(wiped_founder_founds_no_second_group)
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
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_caught_up(); }, wait_limit));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// A host loses its disk and is repaired; immediately afterwards a second host is lost permanently.
// The two remaining hosts must still serve every acknowledged command.
BOOST_DATA_TEST_CASE(second_host_loss_after_a_repair_loses_no_command,
                     data::xrange(3) * data::xrange(3) * data::xrange(4), first, second, seed)
{
    if (first == second) {
        BOOST_TEST(true); // the same host twice is a single loss
        return;
    }
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 10};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 25, "a"));
    cluster.lose_disk(static_cast<std::size_t>(first));
    BOOST_REQUIRE(commit(cluster, 5, "b"));
    cluster.restart(static_cast<std::size_t>(first));
    BOOST_REQUIRE(cluster.run_until([&] { return cluster.all_voters_caught_up(); }, wait_limit));
    cluster.lose_disk(static_cast<std::size_t>(second));
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 5, "c"));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// The leader goes down permanently right after a repaired host has become a voter again. The third
// host has not received this configuration change. The repaired host has the longer log, so
// the third host must vote for it although its own configuration does not list it as a voter;
// otherwise no leader can be elected.
BOOST_DATA_TEST_CASE(votes_for_a_candidate_missing_from_the_local_configuration, data::xrange(20),
                     seed)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 200};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 5, "a"));
    const std::size_t leader_host = *cluster.leader();
    const std::size_t repaired = (leader_host + 1) % 3;
    const std::size_t third = (leader_host + 2) % 3;
    cluster.lose_disk(repaired);
    cluster.restart(repaired);
    // Cut off the third host as soon as the removal of the lost disk has been committed.
    const instant end = cluster.now() + wait_limit;
    const auto& core = cluster.core(leader_host);
    while (cluster.now() < end &&
           (core.config().voters.size() != 2 || core.commit_index() < core.last_index())) {
        cluster.run_for(millis{1});
    }
    cluster.cut(leader_host, third, true);
    BOOST_REQUIRE(cluster.run_until(
        [&] { return cluster.core(repaired).role() == replog::replica_role::follower; },
        wait_limit));
    cluster.crash(leader_host);
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 3, "b"));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// The leader is disconnected and gets no error. Its lease must end before another leader acts, and
// a command that it accepted without a quorum must not be acknowledged.
BOOST_DATA_TEST_CASE(cut_off_leader_stops_before_another_acts, data::xrange(8), seed)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 40};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    const std::size_t old_leader = *cluster.leader();
    cluster.isolate(old_leader, true);
    cluster.propose("lost");
    BOOST_TEST(cluster.run_until(
        [&] { return cluster.leader().has_value() && *cluster.leader() != old_leader; },
        wait_limit));
    BOOST_TEST(commit(cluster, 3, "b"));
    cluster.isolate(old_leader, false);
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_caught_up(); }, wait_limit));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// The leader process is paused beyond its lease (SIGSTOP or a paused machine) and then resumes with
// its clock ahead. It must not act under the expired lease.
BOOST_DATA_TEST_CASE(paused_leader_resumes_without_its_lease, data::xrange(8), seed)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 60};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    cluster.freeze(*cluster.leader(), millis{1500});
    BOOST_TEST(cluster.run_until([&] { return cluster.leader().has_value(); }, wait_limit));
    BOOST_TEST(commit(cluster, 3, "b"));
    cluster.run_for(millis{3000});
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_caught_up(); }, wait_limit));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// The leader and one follower cannot reach each other; the third host reaches both and, in half of
// the cases, restarts repeatedly. The disconnected follower requests votes from it. If the third
// host granted a vote during the leader's lease, two hosts would answer reads at the same time.
BOOST_DATA_TEST_CASE(partial_partition_grants_no_second_lease, data::xrange(12) * data::xrange(2),
                     seed, restarts)
{
    sim_cluster cluster{3, static_cast<std::uint64_t>(seed) + 90};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    const std::size_t leader_host = *cluster.leader();
    const std::size_t cut_off = (leader_host + 1) % 3;
    const std::size_t third = (leader_host + 2) % 3;
    cluster.cut(leader_host, cut_off, true);
    cluster.cut(cut_off, leader_host, true);
    for (int n = 0; n < 40; ++n) {
        if (restarts == 1) {
            cluster.crash(third);
            cluster.restart(third);
        }
        cluster.run_for(millis{60 + seed});
    }
    expect_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(leadership_is_handed_over_without_an_election_timeout)
{
    sim_cluster cluster{3, 5};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 3, "a"));
    const std::size_t old_leader = *cluster.leader();
    cluster.hand_over(old_leader);
    BOOST_TEST(cluster.run_until(
        [&] { return cluster.leader().has_value() && *cluster.leader() != old_leader; },
        millis{150}));
    expect_no_violations(cluster);
}

namespace {

/// Injects random faults of all kinds over a network that loses, reorders and duplicates messages,
/// with slow disks. A disk is lost only while all voters are caught up, because no group of three
/// survives the loss of two disks.
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
            if (cluster.all_voters_caught_up()) {
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

BOOST_DATA_TEST_CASE(random_faults_violate_no_invariant, data::xrange(400), seed)
{
    sim_cluster cluster{seed % 4 == 0 ? 5U : 3U, static_cast<std::uint64_t>(seed) + 1000};
    BOOST_REQUIRE(elect(cluster));
    run_random_faults(cluster, static_cast<std::uint64_t>(seed) + 5000, 60);
    const bool caught_up =
        cluster.run_until([&] { return cluster.all_voters_caught_up(); }, wait_limit);
    BOOST_TEST(caught_up);
    if (!caught_up) {
        BOOST_TEST_MESSAGE(cluster.describe());
    }
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// Four hosts, three voters, and replicas that vote immediately after a start. Under random faults
// no acknowledged command is lost, and each confirmed read returns every command that was
// acknowledged before the read began.
BOOST_DATA_TEST_CASE(spare_hosts_and_early_votes_break_no_promise, data::xrange(200), seed)
{
    sim_cluster cluster{{.hosts = 4, .founders = 3, .vote_at_start = true, .replace_silent = true},
                        static_cast<std::uint64_t>(seed) + 1000};
    BOOST_REQUIRE(elect(cluster));
    run_random_faults(cluster, static_cast<std::uint64_t>(seed) + 9000, 60);
    const bool caught_up =
        cluster.run_until([&] { return cluster.all_voters_caught_up(); }, wait_limit);
    BOOST_TEST(caught_up);
    if (!caught_up) {
        BOOST_TEST_MESSAGE(cluster.describe());
    }
    cluster.check_acknowledged_commands();
    BOOST_TEST(cluster.reads_answered() > 0U);
    expect_no_violations(cluster);
}

// A voter goes down permanently and the spare host replaces it. The group must then survive the
// loss of a second voter.
BOOST_DATA_TEST_CASE(a_spare_host_takes_a_silent_voters_place, data::xrange(10), seed)
{
    sim_cluster cluster{{.hosts = 4, .founders = 3, .vote_at_start = true, .replace_silent = true},
                        static_cast<std::uint64_t>(seed) + 40};
    BOOST_REQUIRE(elect(cluster));
    BOOST_REQUIRE(commit(cluster, 12, "a"));
    cluster.run_for(millis{1000});
    cluster.crash(1);
    BOOST_TEST(cluster.run_until([&] { return cluster.all_voters_caught_up(); }, millis{4000}));
    cluster.crash(2);
    BOOST_TEST(elect(cluster));
    BOOST_TEST(commit(cluster, 5, "b"));
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// All hosts lose power and restart. No lease can be in force, so a leader must be elected within a
// few heartbeats instead of a full election timeout.
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
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// All hosts are killed and restart at the same time. The first vote requests are lost because the
// links are not up yet. Callers wait until there is a leader, so a candidate must retry soon and
// not only after a full election timeout.
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
    cluster.check_acknowledged_commands();
    expect_no_violations(cluster);
}

// Tests the check of reads: the leader is cut off, the followers restart and vote immediately, and
// a new leader acknowledges more commands. Reads answered under the old leader's lease are then
// stale, and the check must report them.
BOOST_AUTO_TEST_CASE(reads_without_a_quorums_word_are_noticed)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 0; seed < 200 && found == 0; ++seed) {
        sim_cluster cluster{{.hosts = 3, .vote_at_start = true}, seed + 1000};
        cluster.lease_reads = true;
        BOOST_REQUIRE(elect(cluster));
        BOOST_REQUIRE(commit(cluster, 3, "a"));
        const std::size_t old_leader = *cluster.leader();
        cluster.isolate(old_leader, true);
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != old_leader) {
                cluster.crash(n);
                cluster.restart(n);
            }
        }
        for (int n = 0; n < 60; ++n) {
            for (std::size_t host = 0; host < 3; ++host) {
                if (host != old_leader &&
                    cluster.core(host).role() == replog::replica_role::leader) {
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

// Tests the check for lost commands: if disks report syncs that they did not perform, at least one
// schedule must lose an acknowledged command, and the check must report it.
BOOST_AUTO_TEST_CASE(skipped_disk_syncs_are_detected)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 0; seed < 60 && found == 0; ++seed) {
        sim_cluster cluster{3, seed + 1000};
        cluster.skip_disk_syncs = true;
        if (!elect(cluster)) {
            continue;
        }
        run_random_faults(cluster, seed + 5000, 60);
        cluster.run_until([&] { return cluster.all_voters_caught_up(); }, millis{5000});
        cluster.check_acknowledged_commands();
        found += cluster.violations().size();
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
