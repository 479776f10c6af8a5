#pragma once

#include "hickorypost/records/record_parser.h"

#include <nlohmann/json.hpp>
#include <set>

namespace hickorypost::records::detail {

/// Reads typed fields from a JSON object and collects all errors with their line and key.
class field_reader {
public:
    field_reader(const nlohmann::json& object, std::string_view text, std::string path,
                 std::vector<record_fault>& faults);

    std::string text(const char* key, bool required);
    std::int64_t integer(const char* key, std::int64_t fallback, std::int64_t low,
                         std::int64_t high);
    std::int64_t required_integer(const char* key, std::int64_t low, std::int64_t high);
    double number(const char* key, double fallback, double low, double high);
    bool flag(const char* key, bool fallback);
    std::vector<std::string> texts(const char* key);
    /// Calls `each` with a reader for every object in the list under `key`.
    void objects(const char* key, bool required, const std::function<void(field_reader&)>& each);

    void fault(const char* key, std::string expected);
    /// Reports every key that no caller has read, so that a misspelt key is not silently ignored.
    void refuse_unknown();

private:
    const nlohmann::json* find(const char* key, bool required);
    [[nodiscard]] std::size_t line_of(const std::string& key) const;

    const nlohmann::json& object_;
    std::string_view text_;
    std::string path_;
    std::vector<record_fault>& faults_;
    std::set<std::string> read_keys_;
};

} // namespace hickorypost::records::detail
