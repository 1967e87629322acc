// Queues whose policy admits only some workers: asking for tickets and using them.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulertimes.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

void Scheduler::setAdmissionQueues(std::map<std::string, WorkerAdmissionSettings> queues)
{
    m_advisedQueues = {queues.begin(), queues.end()};
}

const WorkerAdmissionSettings *Scheduler::advicePolicy(const JobRun &job) const
{
    const auto it = m_advisedQueues.find(job.job().queue);
    return it == m_advisedQueues.end() ? nullptr : &it->second;
}

void Scheduler::askForAdvice(const JobRun &job, int occurrence, int step, TimePoint now)
{
    const AdmissionTable::StepKey key{job.job().id, occurrence, step};
    if (!m_admissions.mayAsk(key, now))
        return;
    const auto &spec = job.job().spec.steps[static_cast<std::size_t>(step)];
    const int waiting
            = job.occurrences().at(occurrence).steps[static_cast<std::size_t>(step)].waiting;
    std::vector<const WorkerState *> candidates;
    int admitted = 0;
    for (const auto *it : m_pools[job.job().pool]) {
        if (!it->usable(now) || !it->free().covers(spec.reserved())
            || !it->description.hasLabel(spec.requiredLabel))
            continue;
        const auto &id = it->description.id;
        admitted += static_cast<int>(!m_admissions.ticket(key, id, it->startedMs, now).empty());
        if (m_admissions.worthAsking(key, id, it->startedMs, now))
            candidates.push_back(it);
    }
    const auto wanted = static_cast<std::size_t>(std::clamp(
            internal::adviceFactor * waiting, internal::fewestAdvised, internal::mostAdvised));
    if (candidates.empty() || admitted >= waiting)
        return;
    std::ranges::sort(candidates, {}, [](const WorkerState *it) {
        return std::pair(it->reserved.milliCores, it->description.id);
    });
    RequestAdmission question{job.job().id, occurrence, step, {}};
    for (const auto *it : candidates) {
        if (question.workers.size() < wanted)
            question.workers.push_back(it->description.id);
    }
    m_admissions.asked(key);
    m_actions.emplace_back(std::move(question));
}

void Scheduler::admissionAnswered(const RequestAdmission &question,
                                  const std::map<std::string, std::string> &tickets, TimePoint now)
{
    const AdmissionTable::StepKey key{question.job, question.occurrence, question.step};
    const auto *owner = find(question.job);
    const auto *policy = owner == nullptr ? nullptr : advicePolicy(*owner);
    if (policy == nullptr)
        return;
    for (const auto &id : question.workers) {
        const auto *it = worker(id);
        if (it == nullptr)
            continue;
        const auto ticket = tickets.find(id);
        m_admissions.answered(key, id, it->startedMs,
                              ticket == tickets.end() ? std::string() : ticket->second,
                              now + policy->validity - internal::ticketMargin);
    }
    m_admissions.answeredAll(key);
}

void Scheduler::admissionUnanswered(const RequestAdmission &question, TimePoint now)
{
    m_admissions.unanswered({question.job, question.occurrence, question.step},
                            now + internal::adviceRetry);
}

} // namespace dragonflysill
