#include "hickorypost/records/record_parser.h"

#include "field_reader_priv.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hickorypost::records {

namespace {

using detail::field_reader;

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_price = 1'000'000'000'000;
constexpr std::size_t sha256_hex_digits = 64;

struct kind_info {
    record_kind kind;
    std::string_view name;
    std::uint64_t newest_schema;
};

constexpr std::array kinds{kind_info{record_kind::account, "account", 2},
                           kind_info{record_kind::model, "model", 1},
                           kind_info{record_kind::service, "service", 1},
                           kind_info{record_kind::rollout, "rollout", 1},
                           kind_info{record_kind::withdrawal, "withdrawal", 1},
                           kind_info{record_kind::cascade, "cascade", 1}};

wire::priority read_priority(field_reader& in)
{
    const std::string text = in.text("priority", false);
    if (text == "interactive") {
        return wire::priority::interactive;
    }
    if (text == "bulk") {
        return wire::priority::bulk;
    }
    if (!text.empty() && text != "normal") {
        in.fault("priority", "interactive, normal or bulk");
    }
    return wire::priority::normal;
}

std::vector<std::string> read_key_hashes(field_reader& in)
{
    auto hashes = in.texts("key_sha256");
    for (const auto& it : hashes) {
        const bool hex = std::all_of(it.begin(), it.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        });
        if (it.size() != sha256_hex_digits || !hex) {
            in.fault("key_sha256", "64 lower-case hex digits (hickorypost hash-key makes them)");
        }
    }
    return hashes;
}

account_record read_account(field_reader& in, std::uint64_t schema)
{
    account_record out;
    out.key_sha256 = read_key_hashes(in);
    out.services = in.texts("services");
    out.rate_per_s = in.number("rate_per_s", 0, 0, 1e9);
    out.burst = in.number("burst", out.rate_per_s, 0, 1e9);
    out.enabled = in.flag("enabled", true);
    if (schema == 1) {
        // Schema 1 lists models without versions and permits all their versions.
        for (auto& it : in.texts("models")) {
            out.allow.push_back({std::move(it), {}});
        }
        return out;
    }
    in.objects("allow", false, [&](field_reader& item) {
        out.allow.push_back({item.text("model", true), item.texts("versions")});
    });
    out.max_in_flight = static_cast<std::uint32_t>(in.integer("max_in_flight", 0, 0, 1'000'000));
    out.weight = static_cast<std::uint32_t>(in.integer("weight", 1, 1, 1000));
    out.urgency = read_priority(in);
    return out;
}

model_record read_model(field_reader& in)
{
    model_record out;
    in.objects("versions", true, [&](field_reader& item) {
        version_entry version;
        version.version = item.text("version", true);
        version.price_in = item.integer("price_in", 0, 0, max_price);
        version.price_out = item.integer("price_out", 0, 0, max_price);
        version.quality = item.number("quality", 0, 0, 1);
        out.versions.push_back(std::move(version));
    });
    out.default_version = in.text("default", true);
    out.slow_ms = in.integer("slow_ms", 0, 0, max_integer);
    const bool known = std::any_of(out.versions.begin(), out.versions.end(), [&](const auto& it) {
        return it.version == out.default_version;
    });
    if (!known) {
        in.fault("default", "one of the versions listed");
    }
    return out;
}

service_record read_service(field_reader& in)
{
    service_record out;
    out.price_per_call = in.integer("price_per_call", 0, 0, max_price);
    out.repeatable = in.flag("repeatable", true);
    return out;
}

rollout_record read_rollout(field_reader& in)
{
    rollout_record out;
    out.model = in.text("model", true);
    out.from = in.text("from", true);
    out.to = in.text("to", true);
    out.first_answers = static_cast<std::uint64_t>(in.integer("first_answers", 10, 1, 1'000'000));
    out.max_worse = in.number("max_worse", out.max_worse, 0.001, 1);
    out.confidence = in.number("confidence", out.confidence, 0.5, 0.999999);
    out.rated = in.flag("rated", true);
    out.withdraw_when_bad = in.flag("withdraw_when_bad", true);
    out.paused = in.flag("paused", false);
    if (!out.from.empty() && out.from == out.to) {
        in.fault("to", "another version than from");
    }
    return out;
}

withdrawal_record read_withdrawal(field_reader& in)
{
    withdrawal_record out;
    out.model = in.text("model", true);
    out.version = in.text("version", true);
    out.active = in.flag("active", true);
    return out;
}

cascade_record read_cascade(field_reader& in)
{
    cascade_record out;
    in.objects("stages", true, [&](field_reader& item) {
        out.stages.push_back({item.text("model", true), item.text("version", false)});
    });
    out.accept_rating = in.number("accept_rating", out.accept_rating, 0, 1);
    if (out.stages.empty()) {
        in.fault("stages", "at least one stage");
    }
    return out;
}

record_body read_body(field_reader& in, record_kind kind, std::uint64_t schema)
{
    switch (kind) {
    case record_kind::account:
        return read_account(in, schema);
    case record_kind::model:
        return read_model(in);
    case record_kind::service:
        return read_service(in);
    case record_kind::rollout:
        return read_rollout(in);
    case record_kind::withdrawal:
        return read_withdrawal(in);
    case record_kind::cascade:
        return read_cascade(in);
    }
    return account_record{};
}

std::size_t line_at(std::string_view text, std::size_t offset)
{
    const auto before = text.substr(0, offset);
    return 1 + static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
}

leaf::error_id single_fault_error(std::string_view source, record_fault fault)
{
    return leaf::new_error(record_error{std::string{source}, {std::move(fault)}});
}

} // namespace

std::string_view name_of(record_kind kind) noexcept
{
    for (const auto& it : kinds) {
        if (it.kind == kind) {
            return it.name;
        }
    }
    return "unknown";
}

std::optional<record_kind> kind_named(std::string_view name) noexcept
{
    for (const auto& it : kinds) {
        if (it.name == name) {
            return it.kind;
        }
    }
    return std::nullopt;
}

std::uint64_t newest_schema(record_kind kind) noexcept
{
    for (const auto& it : kinds) {
        if (it.kind == kind) {
            return it.newest_schema;
        }
    }
    return 0;
}

std::string describe(const record_error& error)
{
    std::string out;
    for (const auto& it : error.faults) {
        if (!out.empty()) {
            out += '\n';
        }
        out += error.source;
        if (it.line > 0) {
            out += ":" + std::to_string(it.line);
        }
        out += ": " + (it.key.empty() ? std::string{} : it.key + ": ") + "expected " + it.expected;
    }
    return out;
}

result<parsed_record> parse_record(std::string_view document, std::string_view source)
{
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(document);
    } catch (const nlohmann::json::parse_error& error) {
        return single_fault_error(source, {line_at(document, error.byte), {}, "a JSON document"});
    }
    if (!json.is_object()) {
        return single_fault_error(source, {1, {}, "a JSON object"});
    }
    std::vector<record_fault> faults;
    field_reader in{json, document, {}, faults};
    parsed_record out;
    const std::string kind_text = in.text("kind", true);
    const auto kind = kind_named(kind_text);
    if (!kind) {
        std::string known;
        for (const auto& it : kinds) {
            known += (known.empty() ? "" : ", ") + std::string{it.name};
        }
        in.fault("kind", "one of " + known);
        return leaf::new_error(record_error{std::string{source}, std::move(faults)});
    }
    out.kind = *kind;
    out.name = in.text("name", true);
    out.number = static_cast<std::uint64_t>(in.required_integer("number", 1, max_integer));
    // Rejects unknown schema versions, whose fields may have another meaning.
    const auto newest = static_cast<std::int64_t>(newest_schema(out.kind));
    out.schema = static_cast<std::uint64_t>(in.required_integer("schema", 1, newest));
    out.body = read_body(in, out.kind, out.schema);
    std::visit([&](auto& body) { body.name = out.name; }, out.body);
    in.refuse_unknown();
    if (!faults.empty()) {
        return leaf::new_error(record_error{std::string{source}, std::move(faults)});
    }
    return out;
}

} // namespace hickorypost::records
