#include "gypsumstep/fleet/parse.h"

#include "draft.h"
#include "gypsumstep/document/converters.h"
#include "gypsumstep/document/parse.h"
#include "gypsumstep/document/path.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace gypsumstep::fleet {

namespace {

namespace doc = gypsumstep::document;
using detail::document_draft;
using detail::group_draft;
using detail::server_draft;
using doc::node;
using doc::object_reader;
using doc::read_context;

constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 100'000;
constexpr std::uint64_t max_connect_ms = 60'000;
constexpr std::uint64_t max_target_ms = 3'600'000;
constexpr std::uint32_t max_queue_limit = 1'000'000;
constexpr std::size_t max_domains = 1'000;
constexpr std::size_t max_groups = 100'000;
constexpr std::size_t max_servers_of_group = 99;
constexpr int dump_indent = 2;

/// Calls \p read for each member of an object whose keys are names.
template <class F>
void for_each_named(const node& value, const read_context& context, std::size_t max_count, F read)
{
    const auto* members = std::get_if<doc::object>(&value.value);
    if (members == nullptr) {
        context.report(value.place, std::string{"must be an object, is "} + kind_of(value));
        return;
    }
    if (members->size() > max_count) {
        context.report(value.place, "must have at most " + std::to_string(max_count) + " members");
        return;
    }
    for (const doc::member& member : *members) {
        const read_context inner = context.child(member.key);
        if (!doc::is_name(member.key)) {
            inner.report(member.place, "the name must be 1 to 64 letters, digits, '-', '_' or '.'");
        }
        read(member, inner);
    }
}

server_draft read_server(const doc::member& source, const read_context& context)
{
    server_draft draft;
    draft.place = source.place;
    draft.domain_place = source.value.place;
    draft.path = context.path();
    server& values = draft.values;
    values.name = source.key;
    const auto read_domain = [&](const node& value, const read_context& inner) {
        draft.domain_place = value.place;
        return doc::name{}(value, inner);
    };
    object_reader reader{source.value, context};
    reader.required("address", doc::ip_address{}, values.address);
    reader.required("port", doc::port_number, values.port);
    reader.required("domain", read_domain, draft.domain_name);
    reader.required("slots", doc::unsigned_between<std::uint32_t>{1, max_slots}, values.slots);
    reader.required("connections", doc::unsigned_between<std::uint32_t>{1, max_connections},
                    values.connections);
    reader.optional("connect_ms", doc::milliseconds_between{0, max_connect_ms},
                    values.connect_time);
    reader.optional("leaving", doc::boolean{}, values.leaving);
    reader.finish();
    return draft;
}

group_draft read_group(const doc::member& source, const read_context& context)
{
    group_draft draft;
    draft.place = source.place;
    draft.path = context.path();
    draft.values.name = source.key;
    const auto read_servers = [&](const node& value, const read_context& inner) {
        for_each_named(value, inner, max_servers_of_group,
                       [&](const doc::member& member, const read_context& server_context) {
                           draft.servers.push_back(read_server(member, server_context));
                       });
        return std::optional{true};
    };
    bool is_read = false;
    object_reader reader{source.value, context};
    reader.required("service", doc::name{}, draft.values.service);
    reader.optional("automation", doc::boolean{}, draft.values.automation);
    reader.required("servers", read_servers, is_read);
    reader.finish();
    return draft;
}

std::optional<rank_target> read_rank(const node& value, const read_context& context)
{
    rank_target target;
    object_reader reader{value, context};
    reader.required("target_ms", doc::milliseconds_between{1, max_target_ms}, target.latency);
    reader.required("objective", doc::fraction{false, false}, target.objective);
    reader.optional("slot_floor", doc::fraction{true, false}, target.slot_floor);
    reader.optional("queue_limit", doc::unsigned_between<std::uint32_t>{1, max_queue_limit},
                    target.queue_limit);
    reader.finish();
    return target;
}

document_draft read_draft(const node& root, const read_context& context)
{
    document_draft draft;
    draft.ranks_place = root.place;
    const auto read_domains = [&](const node& value, const read_context& inner) {
        for_each_named(value, inner, max_domains,
                       [&](const doc::member& member, const read_context& member_context) {
                           domain& target = draft.domains[member.key];
                           target.name = member.key;
                           object_reader reader{member.value, member_context};
                           reader.required("region", doc::name{}, target.region);
                           reader.finish();
                       });
        return std::optional{true};
    };
    const auto read_groups = [&](const node& value, const read_context& inner) {
        for_each_named(value, inner, max_groups,
                       [&](const doc::member& member, const read_context& member_context) {
                           draft.groups[member.key] = read_group(member, member_context);
                       });
        return std::optional{true};
    };
    const auto read_ranks = [&](const node& value, const read_context& inner) {
        draft.ranks_place = value.place;
        object_reader reader{value, inner};
        for (const rank level : all_ranks) {
            const auto index = index_of(level);
            reader.required(detail::rank_names.at(index), read_rank, draft.ranks.at(index));
        }
        reader.finish();
        return std::optional{true};
    };
    std::uint64_t version = 0;
    bool is_read = false;
    object_reader reader{root, context};
    reader.required("version", doc::unsigned_between<std::uint64_t>{}, version);
    reader.required("domains", read_domains, is_read);
    reader.required("groups", read_groups, is_read);
    reader.required("ranks", read_ranks, is_read);
    reader.finish();
    draft.version = config_version{version};
    return draft;
}

/// Assigns ids in the order of the names. The draft must have passed its checks.
document assign_ids(const document_draft& draft)
{
    document result;
    result.version = draft.version;
    result.ranks = draft.ranks;
    std::map<std::string, domain_id> domain_ids;
    for (const auto& [name, values] : draft.domains) {
        domain& added = result.domains.emplace_back(values);
        added.id = domain_id{static_cast<domain_id::rep>(domain_ids.size())};
        domain_ids[name] = added.id;
    }
    for (const auto& [name, source] : draft.groups) {
        group& added = result.groups.emplace_back(source.values);
        added.id = group_id{static_cast<group_id::rep>(result.groups.size() - 1)};
        for (const server_draft& server_source : source.servers) {
            server& member = result.servers.emplace_back(server_source.values);
            member.group = added.id;
            member.failure_domain = domain_ids.at(server_source.domain_name);
        }
    }
    std::ranges::sort(result.servers, {}, &server::name);
    for (std::size_t i = 0; i < result.servers.size(); ++i) {
        server& numbered = result.servers[i];
        numbered.id = server_id{static_cast<server_id::rep>(i)};
        result.groups[numbered.group.value()].servers.push_back(numbered.id);
    }
    return result;
}

} // namespace

doc::checked<document> parse(std::string_view text, const std::string& file_name)
{
    auto parsed = doc::parse(text, file_name);
    if (!parsed.has_value()) {
        return {std::nullopt, std::move(parsed.problems)};
    }
    findings problems = std::move(parsed.problems);
    const document_draft draft = read_draft(*parsed.value, {problems, ""});
    if (std::holds_alternative<doc::object>(parsed.value->value)) {
        detail::check(draft, problems);
    }
    if (doc::has_error(problems)) {
        return doc::make_checked(std::optional<document>{}, std::move(problems));
    }
    return doc::make_checked(std::optional{assign_ids(draft)}, std::move(problems));
}

doc::checked<document> parse_json(const nlohmann::json& value, const std::string& file_name)
{
    const auto replace_invalid = nlohmann::json::error_handler_t::replace;
    return parse(value.dump(dump_indent, ' ', false, replace_invalid), file_name);
}

} // namespace gypsumstep::fleet
