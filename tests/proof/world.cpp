#include "world.h"

#include "hickorypost/wire/codec.h"
#include "world_nodes.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace hickorypost::proof {

namespace {

constexpr std::string_view caller_hash =
    "00000000000000000000000000000000000000000000000000000000000000aa";
constexpr millis patience{30'000};

constexpr std::array<std::string_view, static_cast<std::size_t>(step::count_)> step_names{
    "received",       "open proposed",  "open applied",  "start sent",
    "start received", "call begun",     "first piece",   "mid answer",
    "call over",      "usage proposed", "usage applied", "told"};

} // namespace

std::string_view name_of(step s) noexcept
{
    return step_names[static_cast<std::size_t>(s)];
}

world::world(world_options options) : options_{options}, net_{options.seed}
{
    for (const auto& it : controls_) {
        disks_[it] = std::make_unique<testing::virtual_disk>(options.seed ^ hash_bytes(it));
        start_control(it);
    }
    for (const auto& it : entries_) {
        start_entry(it);
    }
    for (const auto& it : agents_) {
        start_agent(it);
    }
    for (std::size_t n = 0; n < controls_.size(); ++n) {
        for (std::size_t m = n + 1; m < controls_.size(); ++m) {
            net_.connect(controls_[n], controls_[m]);
        }
    }
    for (const auto* list : {&entries_, &agents_}) {
        for (const auto& node : *list) {
            for (const auto& control : controls_) {
                net_.connect(node, control);
            }
        }
    }
    for (const auto& entry : entries_) {
        for (const auto& agent : agents_) {
            net_.connect(entry, agent);
        }
    }
}

world::~world() = default;

void world::note(std::string text)
{
    history_.log.push_back(std::to_string(net_.now().time_since_epoch().count() / 1000) +
                           " ms: " + std::move(text));
}

void world::reach(step s, const node_id& at)
{
    if (on_step) {
        on_step(s, at);
    }
}

void world::run_for(millis time)
{
    net_.run_until(net_.now() + time);
}

bool world::settle()
{
    const auto document = [](const char* text) {
        records::record_change change;
        const auto json = nlohmann::json::parse(text);
        change.kind = json["kind"];
        change.name = json["name"];
        change.number = json["number"];
        change.document = text;
        return change;
    };
    submit_change(document(R"({"schema":1,"kind":"model","name":"skills","number":1,"default":"1",
        "versions":[{"version":"1","price_in":1000000,"price_out":2000000},
                    {"version":"2","price_in":3000000,"price_out":4000000}]})"),
                  std::nullopt, 0);
    submit_change(document((R"({"schema":2,"kind":"account","name":"kuzgun","number":1,)"
                            R"("allow":[{"model":"skills"}],"key_sha256":[")" +
                            std::string{caller_hash} + R"("]})")
                               .c_str()),
                  std::nullopt, 0);
    const instant end = net_.now() + patience;
    while (net_.now() < end) {
        run_for(millis{100});
        const bool ready =
            history_.accepted.size() == 2 &&
            std::all_of(entries_.begin(), entries_.end(),
                        [&](const auto& it) {
                            return entry_nodes_[it]->records.fresh(net_.clock(it)) &&
                                   entry_nodes_[it]->router->candidates({"skills", "2"}) == 2;
                        }) &&
            std::all_of(agents_.begin(), agents_.end(), [&](const auto& it) {
                return agent_nodes_[it]->records.fresh(net_.clock(it));
            });
        if (ready) {
            return true;
        }
    }
    return false;
}

void world::submit_change(records::record_change change,
                          const std::optional<model_version>& withdraws, int tries)
{
    constexpr int max_tries = 40;
    if (change.change_id.empty()) {
        change.change_id = "change" + std::to_string(next_change_++);
    }
    const auto again = [this, change, withdraws, tries] {
        if (tries < max_tries) {
            net_.at(millis{200}, [this, change, withdraws, tries] {
                submit_change(change, withdraws, tries + 1);
            });
        }
    };
    const node_id host = controls_[net_.pick(controls_.size())];
    if (!net_.alive(host)) {
        again();
        return;
    }
    net_.on(host, micros{1000}, [this, host, change, withdraws, again] {
        const records::records_command command{change, std::nullopt};
        control_nodes_[host]->groups[0].group->propose(
            wire::encode(command), 0, net_.clock(host),
            [this, change, withdraws, again](const replog::group_answer& answer) {
                const bool answer_lost = net_.pick(5) == 0;
                if (answer.status != replog::group_status::done || answer_lost) {
                    again(); // the same change id: it must take effect once
                }
                if (answer.status != replog::group_status::done) {
                    return;
                }
                const auto result = wire::try_decode<records::change_result>(answer.result);
                numbers_[change.name] = std::max(numbers_[change.name], result->number);
                if (result->status == records::change_status::accepted &&
                    recorded_changes_.insert(result->index).second) {
                    history_.accepted.push_back({committed_at_.at(result->index), result->index,
                                                 withdraws, change.change_id, change.name,
                                                 change.number});
                    note("accepted " + change.change_id + " for " + change.name + " number " +
                         std::to_string(change.number));
                }
            });
    });
}

void world::withdraw_or_restore(bool race)
{
    const std::string version = net_.pick(2) == 0 ? "1" : "2";
    const std::string name = "skills-" + version;
    const bool active = active_withdrawals_.insert(name).second;
    if (!active) {
        active_withdrawals_.erase(name);
    }
    const std::uint64_t seen = numbers_[name];
    const auto make = [&](bool on) {
        records::record_change change;
        change.kind = "withdrawal";
        change.name = name;
        change.number = seen + 1;
        change.amends = seen;
        change.document =
            nlohmann::json{{"schema", 1},        {"kind", "withdrawal"}, {"name", name},
                           {"number", seen + 1}, {"model", "skills"},    {"version", version},
                           {"active", on}}
                .dump();
        submit_change(change, on ? std::optional{model_version{"skills", version}} : std::nullopt,
                      0);
    };
    make(active);
    if (race) {
        make(!active); // another operator, with an equal number and other content
    }
}

void world::announce_leaving(const node_id& agent, bool leaving)
{
    if (leaving) {
        leaving_agents_.insert(agent);
        history_.leaving.push_back({net_.now(), agent});
    } else {
        leaving_agents_.erase(agent);
        std::erase_if(history_.leaving, [&](const auto& it) { return it.agent == agent; });
    }
}

void world::crash(const node_id& node)
{
    if (!net_.alive(node)) {
        return;
    }
    note("crash " + node);
    history_.crashes.push_back({net_.now(), node});
    net_.crash(node);
    if (const auto disk = disks_.find(node); disk != disks_.end()) {
        disk->second->crash();
    }
    if (entry_nodes_.contains(node)) {
        caller_lost_entry(node);
    }
}

void world::restart(const node_id& node)
{
    if (net_.alive(node)) {
        return;
    }
    note("restart " + node);
    if (disks_.contains(node)) {
        start_control(node);
    } else if (entry_nodes_.contains(node)) {
        start_entry(node);
    } else {
        start_agent(node);
    }
}

void world::lose_disk(const node_id& node)
{
    crash(node);
    note("disk of " + node + " lost");
    disks_[node]->wipe();
}

bool world::disks_whole() const
{
    for (std::uint32_t group = 0; group < group_count; ++group) {
        const replog::replica* lead = nullptr;
        for (const auto& [name, it] : control_nodes_) {
            if (net_.alive(name) && it->groups[group].group->leads(net_.clock(name))) {
                lead = &it->groups[group].group->core();
            }
        }
        if (lead == nullptr || lead->config().voters.size() != controls_.size()) {
            return false;
        }
        for (const auto& voter : lead->config().voters) {
            const auto& it = *control_nodes_.at(voter.node);
            if (!net_.alive(voter.node) || it.groups[group].group->core().self() != voter ||
                it.groups[group].group->applied_index() < lead->commit_index()) {
                return false;
            }
        }
    }
    return true;
}

void world::restart_all()
{
    for (const auto* list : {&controls_, &entries_, &agents_}) {
        for (const auto& it : *list) {
            restart(it);
        }
    }
}

const history& world::finish()
{
    on_step = nullptr;
    net_.heal();
    restart_all();
    const instant end = net_.now() + patience;
    run_for(millis{12'000});
    while (net_.now() < end && !disks_whole()) {
        run_for(millis{500});
    }
    if (const auto* lead = leader(1); lead != nullptr) {
        const auto bytes = lead->groups[1].group->machine().read(
            wire::encode(ledger::report_query{.details = true}));
        const auto report = wire::try_decode<ledger::report_answer>(bytes);
        history_.details = report->details;
        history_.rows = report->rows;
    } else {
        note("no leader at the end");
    }
    return history_;
}

} // namespace hickorypost::proof
