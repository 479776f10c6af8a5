#include "report_table.h"

#include <algorithm>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <tuple>

namespace hickorypost {

namespace {

auto identity_of(const report_line& it)
{
    return std::tie(it.account, it.model, it.version, it.outcome);
}

void add(report_line& to, const report_line& it)
{
    to.requests += it.requests;
    to.runs += it.runs;
    to.prompt_tokens += it.prompt_tokens;
    to.completion_tokens += it.completion_tokens;
    to.cost += it.cost;
    to.first_ms_sum += it.first_ms_sum;
}

/// A field of a CSV line; quoted where it holds a separator.
std::string csv_field(const std::string& text)
{
    if (text.find_first_of(",\"\n") == std::string::npos) {
        return text;
    }
    std::string out = "\"";
    for (const char c : text) {
        out += c;
        if (c == '"') {
            out += c;
        }
    }
    return out + "\"";
}

} // namespace

std::string money(std::int64_t millionths)
{
    constexpr std::int64_t unit = 1'000'000;
    const std::int64_t whole = millionths / unit;
    const std::int64_t part = millionths < 0 ? -(millionths % unit) : millionths % unit;
    const bool sign = millionths < 0 && whole == 0;
    return fmt::format("{}{}.{:06}", sign ? "-" : "", whole, part);
}

report_line& report_table::line_for(const report_line& like)
{
    const auto it =
        std::lower_bound(lines_.begin(), lines_.end(), like, [](const auto& a, const auto& b) {
            return identity_of(a) < identity_of(b);
        });
    if (it != lines_.end() && identity_of(*it) == identity_of(like)) {
        return *it;
    }
    report_line fresh;
    fresh.account = like.account;
    fresh.model = like.model;
    fresh.version = like.version;
    fresh.outcome = like.outcome;
    return *lines_.insert(it, std::move(fresh));
}

void report_table::add_group(const nlohmann::json& answer)
{
    for (const auto& it : answer.at("rows")) {
        report_line line;
        line.account = it.at("account");
        line.model = it.at("model");
        line.version = it.at("version");
        line.outcome = it.at("outcome");
        line.requests = it.at("requests");
        line.runs = it.at("runs");
        line.prompt_tokens = it.at("prompt_tokens");
        line.completion_tokens = it.at("completion_tokens");
        line.cost = it.at("cost");
        line.first_ms_sum = it.at("first_ms_sum");
        add(line_for(line), line);
    }
    for (const auto& it : answer.at("details")) {
        details_.push_back({it.at("account"), it.at("request"), it.at("model"), it.at("version"),
                            it.at("outcome"), it.at("cost")});
    }
    open_ += answer.at("open").get<std::uint64_t>();
    duplicates_ += answer.at("duplicate_usage").get<std::uint64_t>();
    wasted_tokens_ += answer.at("wasted_tokens").get<std::uint64_t>();
}

report_line report_table::total() const
{
    report_line out;
    for (const auto& it : lines_) {
        add(out, it);
    }
    return out;
}

std::string report_table::as_table() const
{
    constexpr const char* row =
        "{:<20} {:<14} {:<10} {:<10} {:>9} {:>9} {:>12} {:>12} {:>16} {:>10}\n";
    std::string out = fmt::format(row, "account", "model", "version", "outcome", "requests", "runs",
                                  "tokens in", "tokens out", "cost", "first ms");
    const auto print = [&](const report_line& it) {
        const std::uint64_t mean =
            it.runs == 0 ? 0 : static_cast<std::uint64_t>(it.first_ms_sum) / it.runs;
        out += fmt::format(row, it.account, it.model, it.version, it.outcome, it.requests, it.runs,
                           it.prompt_tokens, it.completion_tokens, money(it.cost), mean);
    };
    for (const auto& it : lines_) {
        print(it);
    }
    report_line sum = total();
    sum.account = "total";
    print(sum);
    out += fmt::format("open {}; second runs not billed {} ({} tokens)\n", open_, duplicates_,
                       wasted_tokens_);
    for (const auto& it : details_) {
        out += fmt::format("{} {} {}@{} {} {}\n", it.account, it.request, it.model, it.version,
                           it.outcome, money(it.cost));
    }
    return out;
}

std::string report_table::as_csv() const
{
    std::string out = "account,model,version,outcome,requests,runs,prompt_tokens,"
                      "completion_tokens,cost,first_ms_sum\n";
    for (const auto& it : lines_) {
        out += fmt::format("{},{},{},{},{},{},{},{},{},{}\n", csv_field(it.account),
                           csv_field(it.model), csv_field(it.version), it.outcome, it.requests,
                           it.runs, it.prompt_tokens, it.completion_tokens, money(it.cost),
                           it.first_ms_sum);
    }
    return out;
}

std::string report_table::as_json() const
{
    const auto json_of = [](const report_line& it) {
        return nlohmann::json{{"account", it.account},
                              {"model", it.model},
                              {"version", it.version},
                              {"outcome", it.outcome},
                              {"requests", it.requests},
                              {"runs", it.runs},
                              {"prompt_tokens", it.prompt_tokens},
                              {"completion_tokens", it.completion_tokens},
                              {"cost_millionths", it.cost},
                              {"first_ms_sum", it.first_ms_sum}};
    };
    nlohmann::json out;
    out["rows"] = nlohmann::json::array();
    for (const auto& it : lines_) {
        out["rows"].push_back(json_of(it));
    }
    out["details"] = nlohmann::json::array();
    for (const auto& it : details_) {
        out["details"].push_back({{"account", it.account},
                                  {"request", it.request},
                                  {"model", it.model},
                                  {"version", it.version},
                                  {"outcome", it.outcome},
                                  {"cost_millionths", it.cost}});
    }
    out["total"] = json_of(total());
    out["open"] = open_;
    out["second_runs_not_billed"] = duplicates_;
    return out.dump(2) + "\n";
}

} // namespace hickorypost
