#include "platform_store.h"

#include <utility>

namespace gypsumstep::standin {

table_entry platform_store::row(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? table_entry{} : found->second;
}

table_outcome platform_store::transact(const std::vector<table_operation>& operations)
{
    for (const auto& operation : operations) {
        table_entry current = row(operation.key);
        if (current.version != operation.expected_version) {
            return {operation.key, std::move(current)};
        }
    }
    for (const auto& operation : operations) {
        m_rows[operation.key] = {operation.expected_version + 1, operation.value};
    }
    return {};
}

std::optional<std::string> platform_store::object(const std::string& name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional{found->second};
}

void platform_store::put_object(const std::string& name, std::string bytes)
{
    m_objects[name] = std::move(bytes);
}

} // namespace gypsumstep::standin
