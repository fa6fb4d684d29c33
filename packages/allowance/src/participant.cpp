#include "gypsumstep/allowance/participant.h"

#include <algorithm>

namespace gypsumstep::allowance {

participant::participant(const terms& bound, const homes::daemon_entry& self,
                         std::map<std::string, std::string, std::less<>> regions,
                         std::uint64_t first_number)
    : m_self{self}, m_slots{self.domain, std::move(regions)},
      m_ownership{self, m_slots.slots_of_each_domain()}, m_keeper{bound}, m_stock{bound, self.name,
                                                                                  first_number}
{
}

void participant::set_limits(account_limits limits, time_point now)
{
    std::erase_if(limits, [](const auto& entry) { return entry.second.rate_per_second <= 0; });
    const bool was_active = m_active;
    m_active = !limits.empty();
    m_keeper.set_limits(limits, now);
    m_stock.set_limits(limits);
    if (m_active && !was_active && m_has_daemons) {
        m_ownership.set_daemons(m_daemons, now);
    }
    update_part(now);
    send_requests(now);
}

void participant::set_daemons(const std::vector<homes::daemon_entry>& daemons, time_point now)
{
    m_daemons = daemons;
    m_has_daemons = true;
    m_stock.set_keepers(m_slots.nearest_keepers(daemons), m_slots.part_of_slot());
    if (m_active) {
        m_ownership.set_daemons(daemons, now);
    }
    update_part(now);
    send_requests(now);
}

void participant::on_message(const message& content, time_point now)
{
    std::visit([&](const auto& alternative) { handle(alternative, now); }, content);
}

void participant::handle(const token_request& request, time_point now)
{
    update_part(now);
    m_messages.push_back({request.sender, m_keeper.grant(request, now)});
}

void participant::handle(const token_answer& answer, time_point now)
{
    m_stock.on_answer(answer, now);
    send_requests(now);
}

void participant::handle(const presence& content, time_point now)
{
    m_ownership.on_presence(content, now);
    if (!content.is_answer) {
        presence answer = own_presence(true);
        if (content.domain == m_self.domain) {
            answer.higher = m_ownership.higher_than(content, now);
        }
        m_messages.push_back({content.sender, std::move(answer)});
    }
    update_part(now);
}

void participant::on_tick(time_point now)
{
    m_ownership.on_tick(now);
    update_part(now);
    m_stock.on_tick(now);
    send_requests(now);
}

time_point participant::next_tick() const
{
    return std::min(m_active ? m_ownership.next_tick() : time_point::max(), m_stock.next_tick());
}

bool participant::start(std::string_view account, operation_id operation, time_point now)
{
    if (m_stock.try_take(account, now)) {
        return true;
    }
    m_stock.wait(account, operation, now);
    send_requests(now);
    return false;
}

std::vector<outgoing_message> participant::take_messages()
{
    return std::exchange(m_messages, {});
}

void participant::update_part(time_point now)
{
    if (m_active) {
        m_keeper.set_part(m_ownership.held_slots(now) * m_slots.part_of_slot(), now);
    }
    for (const std::string& daemon : m_ownership.take_recipients()) {
        m_messages.push_back({daemon, own_presence(false)});
    }
}

void participant::send_requests(time_point now)
{
    // An answer of this daemon's own keeper may leave a need for the next keeper.
    for (auto requests = m_stock.take_requests(now); !requests.empty();
         requests = m_stock.take_requests(now)) {
        for (outgoing_request& request : requests) {
            if (request.keeper == m_self.name) {
                update_part(now);
                m_stock.on_answer(m_keeper.grant(request.content, now), now);
            }
            else {
                m_messages.push_back({std::move(request.keeper), std::move(request.content)});
            }
        }
    }
}

presence participant::own_presence(bool is_answer) const
{
    return {m_self.name, m_self.domain, m_self.capacity, is_answer, {}};
}

} // namespace gypsumstep::allowance
