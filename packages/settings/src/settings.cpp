#include "gypsumstep/settings/settings.h"

#include "gypsumstep/document/converters.h"
#include "gypsumstep/document/parse.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

namespace gypsumstep::settings {

namespace {

using document::node;
using document::object_reader;
using document::read_context;

constexpr std::uint32_t max_connections_limit = 65'536;
constexpr std::uint32_t min_message_bytes = 1024;
constexpr std::uint32_t max_message_bytes_limit = 1024U * 1024 * 1024;
constexpr std::uint32_t max_buffered_bytes_limit = 0xffff'ffffU;
constexpr std::uint64_t max_client_timeout_ms = 3'600'000;
constexpr std::uint32_t min_platform_timeout_ms = 10;
constexpr std::uint32_t max_platform_timeout_ms = 60'000;
constexpr std::uint64_t max_shutdown_limit_ms = 3'600'000;
constexpr std::size_t min_key_bytes = 16;
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_keys = 2; // the old and the new key during a rotation
constexpr std::size_t max_seeds = 64;
constexpr std::size_t max_path_bytes = 4096;

struct endpoint_converter {
    std::optional<endpoint> operator()(const node& value, const read_context& context) const
    {
        endpoint result;
        object_reader reader{value, context};
        const bool has_address = reader.required("address", document::ip_address{}, result.address);
        const bool has_port = reader.required("port", document::port_number, result.port);
        reader.finish();
        return has_address && has_port ? std::optional{result} : std::nullopt;
    }
};

struct url_converter {
    std::optional<std::string> operator()(const node& value, const read_context& context) const
    {
        auto url = document::text{1, max_path_bytes}(value, context);
        if (url && !url->starts_with("http://") && !url->starts_with("https://")) {
            context.report(value.place, "must start with http:// or https://");
            return std::nullopt;
        }
        return url;
    }
};

using key_list = document::array_of<std::string, document::text>;

const key_list keys{document::text{min_key_bytes, max_key_bytes}, 1, max_keys};

void read_identity_and_endpoints(object_reader& reader, daemon_settings& target)
{
    reader.required("name", document::name{}, target.name);
    reader.required("failure_domain", document::name{}, target.failure_domain);
    reader.required("callers", endpoint_converter{}, target.clients);
    reader.required("mesh", endpoint_converter{}, target.mesh);
    reader.required("operators", endpoint_converter{}, target.operators);
    reader.optional("seeds", document::array_of<endpoint, endpoint_converter>{{}, 0, max_seeds},
                    target.seeds);
    reader.required("platform_url", url_converter{}, target.platform_url);
}

void read_limits(object_reader& reader, daemon_settings& target)
{
    using limit = document::unsigned_between<std::uint32_t>;
    reader.optional("max_connections", limit{1, max_connections_limit}, target.max_connections);
    reader.optional("max_message_bytes", limit{min_message_bytes, max_message_bytes_limit},
                    target.max_message_bytes);
    reader.optional("max_buffered_bytes", limit{0, max_buffered_bytes_limit},
                    target.max_buffered_bytes);
    const document::milliseconds_between client_timeout{1, max_client_timeout_ms};
    reader.optional("start_timeout_ms", client_timeout, target.start_timeout);
    reader.optional("message_timeout_ms", client_timeout, target.message_timeout);
    reader.optional("unread_timeout_ms", client_timeout, target.unread_timeout);
    reader.optional("platform_timeout_ms", limit{min_platform_timeout_ms, max_platform_timeout_ms},
                    target.platform_timeout_ms);
    reader.optional("shutdown_limit_ms", document::milliseconds_between{0, max_shutdown_limit_ms},
                    target.shutdown_limit);
}

void read_security_and_logs(object_reader& reader, daemon_settings& target)
{
    const document::text path{0, max_path_bytes};
    reader.required("mesh_keys", keys, target.mesh_keys);
    reader.required("operator_keys", keys, target.operator_keys);
    reader.optional("tls_certificate", path, target.tls_certificate);
    reader.optional("tls_key", path, target.tls_key);
    reader.optional("log_level", document::one_of{{"trace", "debug", "info", "warn", "error"}},
                    target.log_level);
    reader.optional("log_file", path, target.log_file);
}

void check_consistency(const node& root, const daemon_settings& values, const read_context& context)
{
    if (values.tls_certificate.empty() != values.tls_key.empty()) {
        context.report(root.place, "tls_certificate and tls_key must be given together");
    }
    const auto check_distinct = [&](const endpoint& left, const endpoint& right,
                                    const char* message) {
        if (left.port != 0 && left == right) {
            context.report(root.place, message);
        }
    };
    check_distinct(values.clients, values.mesh, "callers and mesh must differ");
    check_distinct(values.clients, values.operators, "callers and operators must differ");
    check_distinct(values.mesh, values.operators, "mesh and operators must differ");
}

} // namespace

std::string to_string(const endpoint& value)
{
    const bool is_ipv6 = value.address.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

document::checked<daemon_settings> parse(std::string_view text, const std::string& file_name)
{
    auto parsed = document::parse(text, file_name);
    if (!parsed.has_value()) {
        return {std::nullopt, std::move(parsed.problems)};
    }
    findings problems = std::move(parsed.problems);
    const read_context context{problems, ""};
    daemon_settings values;
    object_reader reader{*parsed.value, context};
    read_identity_and_endpoints(reader, values);
    read_limits(reader, values);
    read_security_and_logs(reader, values);
    if (reader.finish()) {
        check_consistency(*parsed.value, values, context);
    }
    return document::make_checked(std::optional{std::move(values)}, std::move(problems));
}

document::checked<daemon_settings> load_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return {std::nullopt, {{{path, 0, 0}, "", "cannot be read"}}};
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return parse(text, path);
}

} // namespace gypsumstep::settings
