#include "json_forms.h"

namespace gypsumstep::platform::detail {
namespace {

using json = nlohmann::json;

error malformed(const char* what)
{
    return {error_code::internal, std::string{"malformed answer of the platform: "} + what};
}

} // namespace

result<table_row> parse_row(const std::string& body)
{
    const json row = json::parse(body, nullptr, false);
    if (!row.is_object() || !row.contains("version") || !row["version"].is_number_unsigned()) {
        return malformed("row");
    }
    table_row value;
    value.version = row["version"].get<std::uint64_t>();
    if (row.contains("key") && row["key"].is_string()) {
        value.key = row["key"].get<std::string>();
    }
    if (row.contains("value")) {
        value.value = row["value"];
    }
    return value;
}

result<std::vector<vm_entry>> parse_vms(const std::string& body)
{
    const json list = json::parse(body, nullptr, false);
    if (!list.is_array()) {
        return malformed("VM list");
    }
    std::vector<vm_entry> entries;
    for (const auto& item : list) {
        if (!item.is_object() || !item.contains("address") || !item["address"].is_string() ||
            !item.contains("state") || !item["state"].is_string()) {
            return malformed("VM");
        }
        const vm_state state = item["state"] == "leaving" ? vm_state::leaving : vm_state::live;
        entries.push_back({item["address"].get<std::string>(), state});
    }
    return entries;
}

std::string write_body(const table_write& write)
{
    return json{{"expected_version", write.expected_version}, {"value", write.value}}.dump();
}

std::string write_body(const std::vector<table_write>& writes)
{
    json operations = json::array();
    for (const auto& write : writes) {
        operations.push_back({{"key", write.key},
                              {"expected_version", write.expected_version},
                              {"value", write.value}});
    }
    return json{{"operations", std::move(operations)}}.dump();
}

} // namespace gypsumstep::platform::detail
