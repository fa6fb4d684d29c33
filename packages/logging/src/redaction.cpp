#include "gypsumstep/logging/redaction.h"

#include <algorithm>
#include <array>
#include <functional>
#include <mutex>
#include <set>
#include <shared_mutex>

namespace gypsumstep::logging {

namespace {

constexpr std::size_t min_secret_bytes = 8;

/// Orders longer secrets first, so that a secret that contains another is replaced whole.
struct longer_first {
    bool operator()(const std::string& left, const std::string& right) const
    {
        return left.size() != right.size() ? left.size() > right.size() : left < right;
    }
};

struct secret_set {
    std::shared_mutex mutex;
    std::set<std::string, longer_first> values;
};

secret_set& secrets()
{
    static secret_set instance;
    return instance;
}

void replace_all(std::string& text, const std::string& secret)
{
    for (auto at = text.find(secret); at != std::string::npos; at = text.find(secret, at)) {
        text.replace(at, secret.size(), redacted);
        at += redacted.size();
    }
}

} // namespace

void register_secret(std::string secret)
{
    if (secret.size() < min_secret_bytes) {
        return;
    }
    auto& registered = secrets();
    const std::unique_lock lock{registered.mutex};
    registered.values.insert(std::move(secret));
}

std::string redact(std::string_view text)
{
    std::string result{text};
    auto& registered = secrets();
    const std::shared_lock lock{registered.mutex};
    for (const std::string& secret : registered.values) {
        replace_all(result, secret);
    }
    return result;
}

bool is_secret_field(std::string_view key)
{
    static constexpr std::array<std::string_view, 7> names{
        "authorization", "mesh_key", "mesh_keys", "operator_key",
        "operator_keys", "password", "secret"};
    return std::ranges::find(names, key) != names.end();
}

} // namespace gypsumstep::logging
