#include "scenario.h"

#include <glib.h>
#include <iostream>
#include <memory>
#include <set>

namespace hickorypost::experiment {

namespace {

struct key_file_free {
    void operator()(GKeyFile* file) const noexcept { g_key_file_free(file); }
};

/// Reads numbers of one section and remembers which keys were asked for.
class section_reader {
public:
    section_reader(GKeyFile* file, std::string section) : file_{file}, section_{std::move(section)}
    {
    }

    template <class T>
    void number(const char* key, T& to)
    {
        asked_.insert(key);
        if (g_key_file_has_key(file_, section_.c_str(), key, nullptr) == FALSE) {
            return;
        }
        GError* raw = nullptr;
        const double value = g_key_file_get_double(file_, section_.c_str(), key, &raw);
        if (raw != nullptr) {
            fault(key, raw->message);
            g_error_free(raw);
            return;
        }
        to = static_cast<T>(value);
    }

    std::string text(const char* key)
    {
        asked_.insert(key);
        gchar* raw = g_key_file_get_string(file_, section_.c_str(), key, nullptr);
        std::string out = raw == nullptr ? "" : raw;
        g_free(raw);
        return out;
    }

    void refuse_unknown()
    {
        gchar** keys = g_key_file_get_keys(file_, section_.c_str(), nullptr, nullptr);
        for (gchar** it = keys; it != nullptr && *it != nullptr; ++it) {
            if (!asked_.contains(*it)) {
                fault(*it, "unknown key");
            }
        }
        g_strfreev(keys);
    }

    void fault(const std::string& key, const std::string& what)
    {
        std::cerr << "[" << section_ << "] " << key << ": " << what << "\n";
        good_ = false;
    }
    [[nodiscard]] bool good() const noexcept { return good_; }

private:
    GKeyFile* file_;
    std::string section_;
    std::set<std::string> asked_;
    bool good_ = true;
};

traffic read_traffic(section_reader& in, const std::string& account)
{
    traffic out;
    out.account = account;
    in.number("share", out.share);
    in.number("prompt_tokens", out.prompt_tokens);
    in.number("output_tokens", out.output_tokens);
    in.number("deadline_ms", out.deadline_ms);
    in.number("weight", out.weight);
    in.number("prefixes", out.prefixes);
    in.number("flood", out.flood);
    in.number("flood_from_s", out.flood_from_s);
    in.number("flood_to_s", out.flood_to_s);
    const std::string urgency = in.text("priority");
    if (urgency == "interactive") {
        out.urgency = wire::priority::interactive;
    } else if (urgency == "bulk") {
        out.urgency = wire::priority::bulk;
    } else if (!urgency.empty() && urgency != "normal") {
        in.fault("priority", "expected interactive, normal or bulk");
    }
    return out;
}

void read_scenario(section_reader& in, scenario& out)
{
    const std::string kind = in.text("kind");
    out.name = in.text("name");
    if (kind == "rollout") {
        out.kind = scenario_kind::rollout;
    } else if (kind == "cascade") {
        out.kind = scenario_kind::cascade;
    } else if (kind != "routing") {
        in.fault("kind", "expected routing, rollout or cascade");
    }
    in.number("seconds", out.seconds);
    in.number("entries", out.entries);
    in.number("replicas", out.replicas);
    in.number("domains", out.domains);
    in.number("load", out.load);
    in.number("net_ms", out.net_ms);
    in.number("report_lag_ms", out.report_lag_ms);
    in.number("report_period_ms", out.report_period_ms);
    in.number("slow_factor", out.slow_factor);
    in.number("slow_from_s", out.slow_from_s);
    in.number("domain_lost_at_s", out.domain_lost_at_s);
    in.number("domain_lost_for_s", out.domain_lost_for_s);
    in.number("rate", out.rate);
    in.number("old_bad", out.old_bad);
    in.number("new_bad", out.new_bad);
    in.number("bad_from_s", out.bad_from_s);
    in.number("rated_share", out.rated_share);
    in.number("rating_delay_s", out.rating_delay_s);
    in.number("fixed_step_s", out.fixed_step_s);
    in.number("first_answers", out.first_answers);
    in.number("max_worse", out.max_worse);
    in.number("confidence", out.confidence);
    in.number("easy_share", out.easy_share);
    in.number("cheap_easy", out.cheap_easy);
    in.number("cheap_hard", out.cheap_hard);
    in.number("strong_easy", out.strong_easy);
    in.number("strong_hard", out.strong_hard);
    in.number("cheap_cost", out.cheap_cost);
    in.number("strong_cost", out.strong_cost);
    in.number("accept_noise", out.accept_noise);
}

} // namespace

std::optional<scenario> load_scenario(const std::string& path)
{
    const std::unique_ptr<GKeyFile, key_file_free> file{g_key_file_new()};
    if (g_key_file_load_from_file(file.get(), path.c_str(), G_KEY_FILE_NONE, nullptr) == FALSE) {
        std::cerr << path << ": cannot be read as INI\n";
        return std::nullopt;
    }
    scenario out;
    bool good = true;
    gchar** groups = g_key_file_get_groups(file.get(), nullptr);
    for (gchar** it = groups; *it != nullptr; ++it) {
        const std::string section{*it};
        section_reader in{file.get(), section};
        if (section == "scenario") {
            read_scenario(in, out);
        } else if (section == "engine") {
            in.number("step_us", out.engine.step_us);
            in.number("per_sequence_us", out.engine.per_sequence_us);
            in.number("per_prompt_token_us", out.engine.per_prompt_token_us);
            in.number("cached_prefixes", out.engine.cached_prefixes);
            in.number("slots", out.engine.slots);
        } else if (section.starts_with("account.")) {
            out.accounts.push_back(read_traffic(in, section.substr(8)));
        } else {
            in.fault("", "expected a section scenario, engine or account.NAME");
        }
        in.refuse_unknown();
        good = good && in.good();
    }
    g_strfreev(groups);
    return good ? std::optional{out} : std::nullopt;
}

} // namespace hickorypost::experiment
