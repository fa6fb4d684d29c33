#include "gypsumstep/consistency/oracle.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gypsumstep::consistency {
namespace {

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

void oracle::opened(time_point now, term opened_term, server_id server)
{
    trace(now, "opened", server.value(), "term " + number(opened_term.value()));
    if (!m_primaries.emplace(opened_term, server).second) {
        violate(now, "term " + number(opened_term.value()) + " opened twice");
    }
    ++counts.primaries;
    if (const auto call = on_opened) {
        call(server);
    }
}

void oracle::acknowledged(time_point now, std::uint64_t key, const log_position& position)
{
    trace(now, "acknowledged", key, to_string(position));
    ++counts.acknowledged;
    last_acknowledged = now;
    first_acknowledgement.emplace(position.entry_term, now);
    last_acknowledgement[position.entry_term] = now;
    if (!m_primaries.contains(position.entry_term)) {
        violate(now, "acknowledged in a term that no primary opened");
    }
    const std::pair entry{position.entry_term, key};
    if (m_committed.emplace(position.index, entry).first->second != entry) {
        violate(now, "two acknowledged writes at index " + number(position.index));
    }
}

void oracle::not_run(time_point now, std::uint64_t key, std::uint32_t attempt)
{
    trace(now, "not_run", key, "attempt " + number(attempt));
    ++counts.not_run;
    m_not_run.insert({key, attempt});
}

void oracle::read(time_point now, std::uint64_t session, const std::vector<std::uint64_t>& needed,
                  const std::vector<std::uint64_t>& seen)
{
    ++counts.reads;
    if (!std::includes(seen.begin(), seen.end(), needed.begin(), needed.end())) {
        violate(now, "session " + number(session) + " went back");
    }
}

void oracle::final_log(time_point now, const std::vector<log_entry>& log)
{
    std::set<std::uint64_t> keys;
    for (const auto& entry : log) {
        const bool once = entry.key != 0 && !is_idempotent(entry.key);
        if (once && !keys.insert(entry.key).second) {
            violate(now, "key " + number(entry.key) + " ran twice");
        }
        if (m_not_run.contains({entry.key, entry.attempt})) {
            violate(now, "key " + number(entry.key) + " ran after it was said not to");
        }
    }
    for (const auto& [index, entry] : m_committed) {
        const bool kept = index <= log.size() && log[index - 1].entry_term == entry.first &&
                          log[index - 1].key == entry.second;
        if (!kept) {
            violate(now, "acknowledged key " + number(entry.second) + " was lost");
        }
    }
}

void oracle::violate(time_point now, const std::string& what)
{
    trace(now, "violation", 0, what);
    m_violations.push_back(what);
}

void oracle::trace(time_point now, const std::string& what, std::uint64_t subject,
                   const std::string& detail)
{
    if (m_tracing) {
        const nlohmann::ordered_json line{{"at_us", now.time_since_epoch().count()},
                                          {"event", what},
                                          {"subject", subject},
                                          {"detail", detail}};
        m_lines.push_back(line.dump());
    }
}

} // namespace gypsumstep::consistency
