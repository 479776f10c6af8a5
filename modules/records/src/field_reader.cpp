#include "field_reader_priv.h"

#include <algorithm>
#include <functional>

namespace hickorypost::records::detail {

namespace {

std::string range_text(std::int64_t low, std::int64_t high)
{
    return "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
}

} // namespace

field_reader::field_reader(const nlohmann::json& object, std::string_view text, std::string path,
                           std::vector<record_fault>& faults)
    : object_{object}, text_{text}, path_{std::move(path)}, faults_{faults}
{
}

std::size_t field_reader::line_of(const std::string& key) const
{
    const std::size_t at = text_.find("\"" + key + "\"");
    if (at == std::string_view::npos) {
        return 0;
    }
    const auto before = text_.substr(0, at);
    return 1 + static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
}

void field_reader::fault(const char* key, std::string expected)
{
    faults_.push_back({line_of(key), path_ + key, std::move(expected)});
}

const nlohmann::json* field_reader::find(const char* key, bool required)
{
    read_keys_.insert(key);
    const auto it = object_.find(key);
    if (it == object_.end()) {
        if (required) {
            fault(key, "this key, which is missing");
        }
        return nullptr;
    }
    return &*it;
}

std::string field_reader::text(const char* key, bool required)
{
    const auto* it = find(key, required);
    if (it == nullptr) {
        return {};
    }
    if (!it->is_string() || (required && it->get_ref<const std::string&>().empty())) {
        fault(key, "a non-empty string");
        return {};
    }
    return it->get<std::string>();
}

std::int64_t field_reader::integer(const char* key, std::int64_t fallback, std::int64_t low,
                                   std::int64_t high)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < low ||
        it->get<std::int64_t>() > high) {
        fault(key, range_text(low, high));
        return fallback;
    }
    return it->get<std::int64_t>();
}

std::int64_t field_reader::required_integer(const char* key, std::int64_t low, std::int64_t high)
{
    if (!object_.contains(key)) {
        find(key, true);
        return low;
    }
    return integer(key, low, low, high);
}

double field_reader::number(const char* key, double fallback, double low, double high)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_number() || it->get<double>() < low || it->get<double>() > high) {
        fault(key, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return it->get<double>();
}

bool field_reader::flag(const char* key, bool fallback)
{
    const auto* it = find(key, false);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_boolean()) {
        fault(key, "true or false");
        return fallback;
    }
    return it->get<bool>();
}

std::vector<std::string> field_reader::texts(const char* key)
{
    const auto* it = find(key, false);
    std::vector<std::string> out;
    if (it == nullptr) {
        return out;
    }
    if (!it->is_array()) {
        fault(key, "a list of strings");
        return out;
    }
    for (const auto& item : *it) {
        if (!item.is_string()) {
            fault(key, "a list of strings");
            return out;
        }
        out.push_back(item.get<std::string>());
    }
    return out;
}

void field_reader::objects(const char* key, bool required,
                           const std::function<void(field_reader&)>& each)
{
    const auto* it = find(key, required);
    if (it == nullptr) {
        return;
    }
    if (!it->is_array()) {
        fault(key, "a list of objects");
        return;
    }
    std::size_t n = 0;
    for (const auto& item : *it) {
        if (!item.is_object()) {
            fault(key, "a list of objects");
            return;
        }
        field_reader inner{item, text_, path_ + key + "[" + std::to_string(n) + "].", faults_};
        each(inner);
        inner.refuse_unknown();
        ++n;
    }
}

void field_reader::refuse_unknown()
{
    for (const auto& [key, value] : object_.items()) {
        if (!read_keys_.contains(key)) {
            std::string known;
            for (const auto& it : read_keys_) {
                known += known.empty() ? it : ", " + it;
            }
            fault(key.c_str(), "one of the known keys: " + known);
        }
    }
}

} // namespace hickorypost::records::detail
