#include "gypsumstep/statement/session_state.h"

#include "gypsumstep/statement/outcome.h"

#include <algorithm>
#include <array>

namespace gypsumstep::statement {

const char* to_string(verb kind)
{
    static constexpr std::array<const char*, 11> names{
        "begin", "begin_read_only", "commit",  "rollback", "read",   "write",
        "set",   "prepare",         "execute", "close",    "unknown"};
    return names.at(static_cast<std::size_t>(kind));
}

const char* to_string(error_class value)
{
    static constexpr std::array<const char*, 15> names{
        "none",      "busy",     "aborted",      "lagging",          "read_only",
        "misrouted", "too_many", "unknown_name", "unknown_database", "unauthorized",
        "malformed", "failed",   "timeout",      "unknown",          "other"};
    return names.at(static_cast<std::size_t>(value));
}

namespace {

/// What an entry takes beside its text, in bytes: the node of the map and two strings.
constexpr std::size_t entry_bytes = 128;

std::size_t size_of(const std::string& name, const std::string& text)
{
    return entry_bytes + name.size() + text.size();
}

} // namespace

void session_state::set_value(std::string name, std::string value)
{
    if (const auto found = m_values.find(name); found != m_values.end()) {
        m_bytes -= size_of(found->first, found->second);
    }
    m_bytes += size_of(name, value);
    m_values.insert_or_assign(std::move(name), std::move(value));
}

void session_state::prepare(std::string name, prepared_statement shape)
{
    (void)close(name);
    m_bytes += size_of(name, shape.shape);
    m_prepared.insert_or_assign(std::move(name), std::move(shape));
}

bool session_state::close(const std::string& name)
{
    const auto found = m_prepared.find(name);
    if (found == m_prepared.end()) {
        return false;
    }
    m_bytes -= size_of(found->first, found->second.shape);
    m_prepared.erase(found);
    return true;
}

const prepared_statement* session_state::find(const std::string& name) const
{
    const auto found = m_prepared.find(name);
    return found == m_prepared.end() ? nullptr : &found->second;
}

const std::string& connection_state::name_of(const prepared_statement& shape) const
{
    return m_prepared.at(shape);
}

std::optional<server_command> connection_state::next_replay(const session_state& session,
                                                            const prepared_statement* needed) const
{
    server_command command;
    if (has_foreign_value(session.values())) {
        command.kind = command_kind::reset;
        return command;
    }
    for (const auto& [name, value] : session.values()) {
        const auto held = m_values.find(name);
        if (held == m_values.end() || held->second != value) {
            command.kind = command_kind::set;
            command.name = name;
            command.value = value;
            return command;
        }
    }
    if (needed != nullptr && !m_prepared.contains(*needed)) {
        command.kind = command_kind::prepare;
        command.name = (needed->mode == access::write ? "w_" : "r_") + std::to_string(m_next_name);
        command.value = needed->shape;
        command.mode = needed->mode;
        return command;
    }
    return std::nullopt;
}

std::size_t connection_state::replay_cost(const session_state& session) const
{
    if (has_foreign_value(session.values())) {
        return session.values().size() + 1;
    }
    return static_cast<std::size_t>(
        std::count_if(session.values().begin(), session.values().end(), [this](const auto& entry) {
            const auto held = m_values.find(entry.first);
            return held == m_values.end() || held->second != entry.second;
        }));
}

void connection_state::on_acknowledged(const server_command& command)
{
    switch (command.kind) {
    case command_kind::reset:
        m_values.clear();
        m_prepared.clear();
        break;
    case command_kind::set:
        m_values.insert_or_assign(command.name, command.value);
        break;
    case command_kind::prepare:
        m_prepared.insert_or_assign({command.mode, command.value}, command.name);
        ++m_next_name;
        break;
    default:
        break;
    }
}

void connection_state::forget(const prepared_statement& shape)
{
    m_prepared.erase(shape);
}

bool connection_state::has_foreign_value(const session_state::value_map& wanted) const
{
    return std::any_of(m_values.begin(), m_values.end(),
                       [&wanted](const auto& held) { return !wanted.contains(held.first); });
}

} // namespace gypsumstep::statement
