#include "gypsumstep/document/object_reader.h"

#include "gypsumstep/document/path.h"

#include <algorithm>

namespace gypsumstep::document {

reading reading::child(std::string_view key) const
{
    return {*m_problems, child_path(m_path, key)};
}

reading reading::child(std::size_t index) const
{
    return {*m_problems, child_path(m_path, index)};
}

void reading::report(const source_place& place, std::string message, severity level) const
{
    m_problems->push_back({place, m_path, std::move(message), level});
}

object_reader::object_reader(const node& value, reading context)
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
    for (const member& one : *m_members) {
        if (std::ranges::find(m_known, one.key) == m_known.end()) {
            m_context.child(one.key).report(one.place, "unknown key");
        }
    }
    return true;
}

const member* object_reader::find(std::string_view key)
{
    m_known.push_back(key);
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
