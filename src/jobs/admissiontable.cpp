#include "dragonflysill/jobs/admissiontable.h"

#include <utility>

namespace dragonflysill {

const AdmissionTable::Admission *AdmissionTable::find(const StepKey &step, std::string_view worker,
                                                      std::int64_t startedMs) const
{
    const auto it = m_steps.find(step);
    if (it == m_steps.end())
        return nullptr;
    const auto found = it->second.workers.find(worker);
    return found == it->second.workers.end() || found->second.startedMs != startedMs
                   ? nullptr
                   : &found->second;
}

std::string_view AdmissionTable::ticket(const StepKey &step, std::string_view worker,
                                        std::int64_t startedMs, TimePoint now) const
{
    const auto *it = find(step, worker, startedMs);
    return it == nullptr || now >= it->validUntil ? std::string_view() : it->ticket;
}

bool AdmissionTable::worthAsking(const StepKey &step, std::string_view worker,
                                 std::int64_t startedMs, TimePoint now) const
{
    const auto *it = find(step, worker, startedMs);
    return it == nullptr || (it->admitted && now >= it->validUntil);
}

bool AdmissionTable::mayAsk(const StepKey &step, TimePoint now) const
{
    const auto it = m_steps.find(step);
    return it == m_steps.end() || (!it->second.asking && now >= it->second.retryAt);
}

void AdmissionTable::asked(const StepKey &step)
{
    m_steps[step].asking = true;
}

void AdmissionTable::unanswered(const StepKey &step, TimePoint retryAt)
{
    m_steps[step].asking = false;
    m_steps[step].retryAt = retryAt;
}

void AdmissionTable::answered(const StepKey &step, const std::string &worker,
                              std::int64_t startedMs, std::string ticket, TimePoint validUntil)
{
    auto &admission = m_steps[step].workers[worker];
    admission.startedMs = startedMs;
    admission.admitted = !ticket.empty();
    admission.ticket = std::move(ticket);
    admission.validUntil = validUntil;
}

void AdmissionTable::answeredAll(const StepKey &step)
{
    m_steps[step].asking = false;
}

void AdmissionTable::refused(const StepKey &step, const std::string &worker)
{
    const auto it = m_steps.find(step);
    if (it != m_steps.end())
        it->second.workers.erase(worker);
}

void AdmissionTable::forget(std::string_view job)
{
    const auto first = m_steps.lower_bound({std::string(job), 0, 0});
    auto last = first;
    while (last != m_steps.end() && std::get<0>(last->first) == job)
        ++last;
    m_steps.erase(first, last);
}

} // namespace dragonflysill
