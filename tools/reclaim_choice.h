// Defines the reclaim_choice concept, what becomes of the streams of an engine
// that is being reclaimed, with the choices that the experiment compares.
#ifndef TOOLS_RECLAIM_CHOICE_H_
#define TOOLS_RECLAIM_CHOICE_H_

#include <concepts>

#include "common/time.h"

namespace anvilloom {

enum class reclaim_action { kRunToEnd, kExport, kPrefillElsewhere };

// One stream at the time of the notice.
struct reclaim_question {
  duration time_to_finish{0};
  duration notice{0};
  // Time to export its cache, and to export those chosen before it.
  duration export_time{0};
  duration exports_before{0};
};

template <typename T>
concept reclaim_choice = requires(const T& choice,
                                  const reclaim_question& question) {
  { choice.Choose(question) } -> std::same_as<reclaim_action>;
};

// Leaves streams alone; those that run when the engine goes are computed again.
struct no_reclaim_plan {
  reclaim_action Choose(const reclaim_question& /*question*/) const {
    return reclaim_action::kRunToEnd;
  }
};

// Stands in for links/reclaim_plan: the action with the fewest recomputed
// tokens that fits within the notice.
struct fewest_recomputed {
  reclaim_action Choose(const reclaim_question& question) const {
    if (question.time_to_finish < question.notice) {
      return reclaim_action::kRunToEnd;
    }
    if (question.exports_before + question.export_time < question.notice) {
      return reclaim_action::kExport;
    }
    return reclaim_action::kPrefillElsewhere;
  }
};

static_assert(reclaim_choice<no_reclaim_plan>);
static_assert(reclaim_choice<fewest_recomputed>);

}  // namespace anvilloom

#endif  // TOOLS_RECLAIM_CHOICE_H_
