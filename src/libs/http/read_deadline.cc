#include "src/libs/http/read_deadline.h"

namespace mimosarail::http {
namespace {

Millis TimeoutOf(ParseStage stage, const ServerLimits& limits) {
  switch (stage) {
    case ParseStage::kHead:
      return limits.head_timeout;
    case ParseStage::kBody:
      return limits.body_timeout;
    case ParseStage::kIdle:
      break;
  }
  return limits.idle_timeout;
}

}  // namespace

TimePoint ReadDeadline::Next(ParseStage stage, const ServerLimits& limits,
                             TimePoint now) {
  if (stage_ != stage) {
    stage_ = stage;
    since_ = now;
  }
  return since_ + TimeoutOf(stage, limits);
}

}  // namespace mimosarail::http
