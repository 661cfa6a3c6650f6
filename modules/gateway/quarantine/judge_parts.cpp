#include "gateway/quarantine/judge_parts.h"

#include <algorithm>
#include <utility>

namespace samphireway::gateway {

namespace {

// One crash accuses every part in flight, and two may share a part by chance.
constexpr std::size_t crashes_of_new_part = 3;
// Needed of a part that was answered before, or while many crashes are unexplained: then parts of few
// requests are near three of them by chance.
constexpr std::size_t crashes_of_any_part = 5;
constexpr std::size_t many_unexplained_crashes = 6;
// Answers to a suspected part are looked for from this many crashes before the number needed.
constexpr std::size_t suspicion_margin = 1;

using crashes_by_part = std::map<std::string, std::set<std::string>>;

/** The evidence of all nodes, joined. */
struct joined_evidence {
    crashes_by_part accused; ///< Without the crashes of which a part is acquitted.
    std::set<std::string> answered;
    std::set<std::string> unanswered;
    std::set<std::string> unexplained; ///< Crashes that no quarantined part explains.
};

joined_evidence join(const std::map<std::string, crash_report>& reports)
{
    joined_evidence joined;
    for (const auto& [node, report] : reports) {
        joined.answered.insert(report.answered.begin(), report.answered.end());
        joined.unanswered.insert(report.unanswered.begin(), report.unanswered.end());
        for (const upstream_crash& crash : report.crashes) {
            joined.unexplained.insert(crash.id);
            for (const std::string& part : crash.parts) {
                joined.accused[part].insert(crash.id);
            }
        }
    }
    for (const auto& [node, report] : reports) {
        for (const auto& [part, crashes] : report.acquitted) {
            const auto found = joined.accused.find(part);
            for (const std::string& crash : crashes) {
                if (found != joined.accused.end()) {
                    found->second.erase(crash);
                }
            }
        }
    }
    return joined;
}

bool is_guilty(const joined_evidence& evidence, const std::string& part, std::size_t crashes)
{
    const bool needs_more =
        evidence.answered.contains(part) || evidence.unexplained.size() > many_unexplained_crashes;
    return crashes >= (needs_more ? crashes_of_any_part : crashes_of_new_part) &&
           evidence.unanswered.contains(part);
}

/** Returns the guilty part with the most crashes, of several one that was never answered; empty if there is
 * none. */
std::string find_worst(const joined_evidence& evidence)
{
    const auto weight = [&evidence](const std::string& part) {
        return std::pair(evidence.accused.at(part).size(), !evidence.answered.contains(part));
    };
    std::string worst;
    for (const auto& [part, crashes] : evidence.accused) {
        if (is_guilty(evidence, part, crashes.size()) && (worst.empty() || weight(part) > weight(worst))) {
            worst = part;
        }
    }
    return worst;
}

} // namespace

part_verdicts judge_parts(const std::map<std::string, crash_report>& reports)
{
    joined_evidence evidence = join(reports);
    part_verdicts result;
    for (const auto& [part, crashes] : evidence.accused) {
        const std::size_t needed =
            evidence.answered.contains(part) ? crashes_of_any_part : crashes_of_new_part;
        if (crashes.size() + suspicion_margin >= needed) {
            result.suspected[part] = crashes;
        }
    }
    for (std::string worst = find_worst(evidence); !worst.empty(); worst = find_worst(evidence)) {
        const std::set<std::string> explained = evidence.accused.at(worst);
        for (const auto& [part, crashes] : evidence.accused) {
            // Parts that always come together and were all never answered cannot be told apart.
            const bool is_alike = evidence.answered.contains(part) == evidence.answered.contains(worst);
            if (crashes == explained && is_alike && is_guilty(evidence, part, crashes.size())) {
                result.quarantined[part] = static_cast<int>(explained.size());
            }
        }
        const auto is_explained = [&explained](const std::string& id) {
            return explained.contains(id);
        };
        std::erase_if(evidence.unexplained, is_explained);
        for (auto& [part, crashes] : evidence.accused) {
            std::erase_if(crashes, is_explained);
        }
    }
    return result;
}

} // namespace samphireway::gateway
