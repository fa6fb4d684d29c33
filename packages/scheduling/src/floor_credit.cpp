#include "gypsumstep/scheduling/floor_credit.h"

#include <algorithm>

namespace gypsumstep::scheduling {

namespace {

// A level's credit is at most what its floor earns in this time. It must exceed a few service
// times, else credit that is earned while every slot is busy would be lost.
constexpr duration credit_window = 1s;

// Highest debt as a share of the highest credit. Low, so that slot time used beyond the floor
// does not delay the floor when it is needed again.
constexpr double max_debt_share = 0.1;

} // namespace

void floor_credit::advance(double rate, bool waiting, duration elapsed)
{
    m_max_credit = rate * static_cast<double>(credit_window.count());
    const double max_credit = waiting ? m_max_credit : 0.0;
    m_credit = std::min(m_credit + rate * static_cast<double>(elapsed.count()), max_credit);
}

void floor_credit::charge(duration cost)
{
    const auto amount = static_cast<double>(cost.count());
    const double max_debt = std::max(m_max_credit * max_debt_share, amount);
    const double min_credit = std::min(m_credit, -max_debt);
    m_credit = std::clamp(m_credit - amount, min_credit, m_max_credit);
}

} // namespace gypsumstep::scheduling
