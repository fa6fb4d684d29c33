#include "gypsumstep/document/object_reader.h"

#include "gypsumstep/document/path.h"

#include <algorithm>

namespace gypsumstep::document {

read_context read_context::child(std::string_view key) const
{
    return {*m_problems, child_path(m_path, key)};
}

read_context read_context::child(std::size_t index) const
{
    return {*m_problems, child_path(m_path, index)};
}

void read_context::report(const source_place& place, std::string message, severity level) const
{
    m_problems->push_back({place, m_path, std::move(message), level});
}

object_reader::object_reader(const node& value, read_context context)
    : m_value{&value}, m_members{std::get_if<object>(&value.value)}, m_context{std::move(context)}
{
    if (m_members == nullptr) {
        m_context.report(value.place, std::string{"must be an object, is "} + kind_of(value));
    }
}

bool object_reader::finish()
{
    if (m_members == nullptr) {
        return false;
    }
    for (const member& field : *m_members) {
        if (std::ranges::find(m_read_keys, field.key) == m_read_keys.end()) {
            m_context.child(field.key).report(field.place, "unknown key");
        }
    }
    return true;
}

const member* object_reader::find(std::string_view key)
{
    m_read_keys.push_back(key);
    if (m_members == nullptr) {
        return nullptr;
    }
    const auto found = std::ranges::find(*m_members, key, &member::key);
    return found == m_members->end() ? nullptr : &*found;
}

void object_reader::report_missing(std::string_view key) const
{
    if (m_members != nullptr) {
        m_context.child(key).report(m_value->place, "missing");
    }
}

} // namespace gypsumstep::document
