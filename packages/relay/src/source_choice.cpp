#include "gypsumstep/relay/source_choice.h"

#include "gypsumstep/relay/reader_order.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::relay {

void source_choice::set_readers(std::vector<std::string> readers, time_point now,
                                reader_places places)
{
    if (m_readers.empty()) {
        // What was read before the readers were known.
        m_confirmed_at = now;
    }
    m_readers = std::move(readers);
    m_places = places;
    const bool is_listed =
        m_current && std::find(m_readers.begin(), m_readers.end(), *m_current) != m_readers.end();
    if (m_current && !is_listed) {
        m_current.reset();
    }
    std::erase_if(m_passed_over, [now](const auto& entry) { return entry.second <= now; });
}

std::size_t source_choice::place_of_self() const
{
    return static_cast<std::size_t>(std::find(m_readers.begin(), m_readers.end(), m_self) -
                                    m_readers.begin());
}

void source_choice::on_message(const std::string& reader, duration failing_for,
                               time_point confirmed_at, time_point now)
{
    if (m_current != reader) {
        return;
    }
    m_confirmed_at = std::max(m_confirmed_at, std::min(confirmed_at, now));
    m_heard_at = now;
    m_heard = true;
    const duration limit = is_reader() ? failure_limit : late_failure_limit;
    if (failing_for >= limit) {
        pass_over(reader, now);
    }
}

void source_choice::on_lost(const std::string& reader, time_point now)
{
    pass_over(reader, now);
}

void source_choice::pass_over(const std::string& reader, time_point now)
{
    m_passed_over[reader] = now + retry_after;
    if (m_current == reader) {
        m_current.reset();
    }
}

bool source_choice::is_confirmed(time_point now) const
{
    return now - m_confirmed_at < confirmation_limit;
}

bool source_choice::is_passed_over(const std::string& reader, time_point now) const
{
    const auto found = m_passed_over.find(reader);
    return found != m_passed_over.end() && now < found->second;
}

std::optional<std::string> source_choice::first_healthy(std::size_t places, time_point now) const
{
    const std::size_t first = std::min(m_places.first, places);
    for (std::size_t turn = 0; turn < places; ++turn) {
        const std::size_t place = turn < first ? (m_places.preferred + turn) % first : turn;
        const std::string& reader = m_readers[place];
        if (reader != m_self && !is_passed_over(reader, now)) {
            return reader;
        }
    }
    return std::nullopt;
}

void source_choice::subscribe(const std::optional<std::string>& reader, time_point now)
{
    // Stays with a healthy reader: an earlier one may be healthy only at times.
    if (m_current && reader) {
        return;
    }
    m_current = reader;
    m_heard_at = now;
    m_heard = false;
}

source source_choice::choose(time_point now)
{
    if (m_current && now - m_heard_at >= (m_heard ? silence_limit : answer_limit)) {
        pass_over(*m_current, now);
    }
    const std::size_t place = place_of_self();
    if (place < m_places.first) {
        const bool is_refused = m_own_failure >= failure_limit;
        subscribe(is_refused ? first_healthy(m_readers.size(), now) : std::nullopt, now);
        return {m_current, true};
    }
    subscribe(first_healthy(place, now), now);
    return {m_current, !m_current || !is_confirmed(now)};
}

} // namespace gypsumstep::relay
