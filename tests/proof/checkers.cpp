#include "checkers.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace hickorypost::proof {

namespace {

std::string text_of(const request_key& key)
{
    return key.account + "/" + key.request;
}

std::vector<violation> withdrawn_gets_nothing(const history& h)
{
    std::vector<violation> out;
    for (const auto& change : h.accepted) {
        if (!change.withdraws) {
            continue;
        }
        // An operator may have restored the version since.
        const auto restored =
            std::find_if(h.accepted.begin(), h.accepted.end(), [&](const auto& a) {
                return a.record == change.record && a.index > change.index && !a.withdraws;
            });
        const instant until = restored == h.accepted.end() ? instant::max() : restored->at;
        for (const auto& it : h.starts) {
            if (it.target == *change.withdraws && it.at > change.at + in_force_limit &&
                it.at < until) {
                out.push_back({"withdrawn version gets no new work",
                               "start on " + it.target.version + " at " + it.agent,
                               text_of(it.key)});
            }
        }
    }
    return out;
}

std::vector<violation> in_force_everywhere(const history& h)
{
    std::vector<violation> out;
    for (const auto& it : h.starts) {
        for (const auto& change : h.accepted) {
            if (it.at > change.at + in_force_limit && it.records_index < change.index) {
                out.push_back({"accepted configuration is in force and never reverts",
                               it.agent + " started work knowing index " +
                                   std::to_string(it.records_index) + ", accepted was " +
                                   std::to_string(change.index),
                               text_of(it.key)});
            }
        }
    }
    return out;
}

std::vector<violation> races_have_one_winner(const history& h)
{
    std::vector<violation> out;
    std::map<std::pair<std::string, std::uint64_t>, std::string> winners;
    for (const auto& it : h.accepted) {
        const auto [winner, added] = winners.try_emplace({it.record, it.number}, it.change_id);
        if (!added && winner->second != it.change_id) {
            out.push_back({"operators' race has one winner",
                           it.record + " number " + std::to_string(it.number) + " went to " +
                               winner->second + " and " + it.change_id,
                           {}});
        }
    }
    return out;
}

std::vector<violation> session_keeps_version(const history& h)
{
    std::vector<violation> out;
    std::map<std::pair<std::string, std::string>, std::string> versions;
    for (const auto& it : h.starts) {
        if (it.session.empty()) {
            continue;
        }
        const auto [known, added] =
            versions.try_emplace({it.key.account, it.session}, it.target.version);
        if (!added && known->second != it.target.version) {
            out.push_back({"session keeps its version",
                           it.session + " on " + known->second + " and " + it.target.version,
                           text_of(it.key)});
        }
    }
    return out;
}

std::vector<violation> at_most_once(const history& h)
{
    std::vector<violation> out;
    std::map<request_key, std::size_t> starts;
    for (const auto& it : h.starts) {
        if (it.non_idempotent && ++starts[it.key] == 2) {
            out.push_back({"non-idempotent runs at most once", "a second start", text_of(it.key)});
        }
    }
    return out;
}

std::vector<violation> not_run_is_true(const history& h)
{
    std::vector<violation> out;
    std::map<request_key, std::size_t> starts_of_key;
    std::set<attempt_id> started;
    for (const auto& it : h.starts) {
        ++starts_of_key[it.key];
        started.insert(it.attempt);
    }
    std::map<std::uint64_t, std::vector<attempt_id>> attempts;
    for (const auto& it : h.attempts) {
        attempts[it.sending].push_back(it.attempt);
    }
    for (const auto& it : h.told) {
        if (it.outcome != "not_run") {
            continue;
        }
        // For a non-idempotent request it speaks of the request whoever sent it; else of this
        // sending.
        const auto& own = attempts[it.sending];
        const bool ran = it.non_idempotent ? starts_of_key.contains(it.key)
                                           : std::any_of(own.begin(), own.end(), [&](attempt_id a) {
                                                 return started.contains(a);
                                             });
        if (ran) {
            out.push_back({"not_run is true", "told not_run, but it ran", text_of(it.key)});
        }
    }
    return out;
}

std::vector<violation> whole_own_answer(const history& h)
{
    std::vector<violation> out;
    std::map<request_key, std::set<std::string>> possible;
    for (const auto& it : h.starts) {
        possible[it.key].insert(expected_answer(it.key, it.target));
    }
    for (const auto& it : h.told) {
        if (it.complete && !possible[it.key].contains(it.body)) {
            out.push_back({"whole answer to the own request",
                           "got " + std::to_string(it.body.size()) + " bytes that are no answer",
                           text_of(it.key)});
        }
        if (!it.complete && it.outcome.empty()) {
            out.push_back({"whole answer to the own request",
                           "an answer ended neither whole nor with an error", text_of(it.key)});
        }
    }
    return out;
}

/// Both holders of a request's usage were lost between its start and its bill.
bool both_holders_lost(const history& h, const start_event& start)
{
    bool agent = false;
    bool entry = false;
    for (const auto& it : h.crashes) {
        agent = agent || (it.node == start.agent && it.at >= start.at);
        entry = entry || (it.node.starts_with("e") && it.at >= start.at);
    }
    return agent && entry;
}

std::vector<violation> billed_once(const history& h)
{
    std::vector<violation> out;
    std::map<request_key, std::size_t> listed;
    std::uint64_t closed = 0;
    for (const auto& it : h.details) {
        ++listed[it.key];
        closed += it.closed ? 1U : 0U;
    }
    std::uint64_t counted = 0;
    std::int64_t cost = 0;
    for (const auto& it : h.rows) {
        counted += it.requests;
        cost += it.cost;
    }
    std::int64_t detail_cost = 0;
    for (const auto& it : h.details) {
        detail_cost += it.cost;
        if (listed[it.key] > 1) {
            out.push_back({"billed exactly once", "listed twice", text_of(it.key)});
        }
    }
    if (counted != closed || cost != detail_cost) {
        out.push_back({"billed exactly once",
                       "totals count " + std::to_string(counted) + " requests, details " +
                           std::to_string(closed),
                       {}});
    }
    std::set<request_key> started;
    for (const auto& it : h.starts) {
        started.insert(it.key);
        if (!listed.contains(it.key) && !both_holders_lost(h, it)) {
            out.push_back(
                {"billed exactly once", "ran, but is not in the report", text_of(it.key)});
        }
    }
    for (const auto& it : h.details) {
        if (it.closed && !started.contains(it.key)) {
            out.push_back({"billed exactly once", "billed without a run", text_of(it.key)});
        }
    }
    for (const auto& it : h.told) {
        const auto detail = std::find_if(h.details.begin(), h.details.end(),
                                         [&](const auto& d) { return d.key == it.key; });
        if (it.complete && (detail == h.details.end() || !detail->closed)) {
            out.push_back(
                {"billed exactly once", "answered whole, but not billed", text_of(it.key)});
        }
    }
    return out;
}

std::vector<violation> leaving_gets_nothing(const history& h)
{
    std::vector<violation> out;
    for (const auto& leaving : h.leaving) {
        for (const auto& it : h.starts) {
            if (it.agent == leaving.agent && it.at > leaving.at + leaving_limit) {
                out.push_back(
                    {"leaving server gets no new work", "start at " + it.agent, text_of(it.key)});
            }
        }
    }
    return out;
}

constexpr std::array checkers{
    promise_checker{"withdrawn version gets no new work", withdrawn_gets_nothing},
    promise_checker{"accepted configuration is in force and never reverts", in_force_everywhere},
    promise_checker{"operators' race has one winner", races_have_one_winner},
    promise_checker{"session keeps its version", session_keeps_version},
    promise_checker{"non-idempotent runs at most once", at_most_once},
    promise_checker{"not_run is true", not_run_is_true},
    promise_checker{"whole answer to the own request", whole_own_answer},
    promise_checker{"billed exactly once", billed_once},
    promise_checker{"leaving server gets no new work", leaving_gets_nothing},
};

} // namespace

std::span<const promise_checker> all_checkers()
{
    return checkers;
}

std::string expected_answer(const request_key& key, const model_version& target)
{
    std::string out;
    for (int n = 0; n < 6; ++n) {
        out += "data: " + key.request + " by " + target.version + " part " + std::to_string(n) +
               "\n\n";
    }
    return out + "data: [DONE]\n\n";
}

} // namespace hickorypost::proof
