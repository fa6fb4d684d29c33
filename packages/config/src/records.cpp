#include "gypsumstep/config/records.h"

#include "gypsumstep/config/nesting.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::config {
namespace {

constexpr std::size_t max_patch_id_length = 64;

bool is_id_character(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
}

bool has_text(const json& row, const char* key)
{
    return row.contains(key) && row[key].is_string();
}

bool has_number(const json& row, const char* key)
{
    return row.contains(key) && row[key].is_number_unsigned();
}

bool has_common_fields(const json& row)
{
    return row.is_object() && has_number(row, "version") && has_text(row, "patch_id") &&
           has_text(row, "author") && has_text(row, "reason") && has_number(row, "time_ms");
}

error malformed(const char* what)
{
    return {error_code::invalid_argument, std::string{"malformed "} + what};
}

error too_deep()
{
    return {error_code::invalid_argument,
            "more than " + std::to_string(nesting_limit) + " levels of arrays and objects"};
}

} // namespace

std::string history_key(config_version version)
{
    return "config/history/" + std::to_string(version.value());
}

std::string patch_key(const std::string& patch_id)
{
    return "config/patches/" + patch_id;
}

std::string object_name(const patch& change)
{
    return "config/versions/" + std::to_string(change.base.next().value()) + "-" + change.id;
}

bool is_patch_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_patch_id_length &&
           std::ranges::all_of(text, is_id_character);
}

json to_json(const head_record& value)
{
    return {{"version", value.version.value()}, {"object", value.object},
            {"patch_id", value.patch_id},       {"author", value.author},
            {"reason", value.reason},           {"time_ms", value.time_ms}};
}

json to_json(const change_record& value)
{
    return {{"version", value.version.value()},
            {"kind", value.change.kind == patch_kind::merge ? "merge" : "operations"},
            {"content", value.change.content},
            {"patch_id", value.change.id},
            {"author", value.change.author},
            {"reason", value.change.reason},
            {"time_ms", value.change.time_ms}};
}

result<head_record> parse_head(const json& row)
{
    if (!has_common_fields(row) || !has_text(row, "object")) {
        return malformed("configuration head");
    }
    return head_record{config_version{row["version"].get<std::uint64_t>()},
                       row["object"].get<std::string>(),
                       row["patch_id"].get<std::string>(),
                       row["author"].get<std::string>(),
                       row["reason"].get<std::string>(),
                       row["time_ms"].get<std::uint64_t>()};
}

result<change_record> parse_change(const json& row)
{
    if (!has_common_fields(row) || !has_text(row, "kind") || !row.contains("content")) {
        return malformed("configuration change");
    }
    const auto version = row["version"].get<std::uint64_t>();
    const auto kind = row["kind"].get<std::string>();
    if (version == 0 || (kind != "merge" && kind != "operations")) {
        return malformed("configuration change");
    }
    change_record record;
    record.version = config_version{version};
    record.change.id = row["patch_id"].get<std::string>();
    record.change.base = config_version{version - 1};
    record.change.kind = kind == "merge" ? patch_kind::merge : patch_kind::operations;
    record.change.content = row["content"];
    record.change.author = row["author"].get<std::string>();
    record.change.reason = row["reason"].get<std::string>();
    record.change.time_ms = row["time_ms"].get<std::uint64_t>();
    return record;
}

head_record make_head(const change_record& change)
{
    return {change.version,       object_name(change.change), change.change.id,
            change.change.author, change.change.reason,       change.change.time_ms};
}

result<json> apply_patch(const json& document, const patch& change)
{
    if (!is_nested_within(change.content, nesting_limit)) {
        return too_deep();
    }
    json changed;
    if (change.kind == patch_kind::merge) {
        changed = document;
        changed.merge_patch(change.content);
    }
    else {
        try {
            changed = document.patch(change.content);
        }
        catch (const json::exception& failure) {
            return error{error_code::invalid_argument, failure.what()};
        }
    }
    if (!is_nested_within(changed, nesting_limit)) {
        return too_deep();
    }
    return changed;
}

json diff(const json& from, const json& to)
{
    return json::diff(from, to);
}

patch make_rollback(patch order, const json& current, const json& target)
{
    order.kind = patch_kind::operations;
    order.content = diff(current, target);
    return order;
}

} // namespace gypsumstep::config
