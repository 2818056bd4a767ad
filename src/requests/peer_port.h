#pragma once

#include <string>

#include "requests_types.h"
#include "src/libs/base/result.h"

namespace mimosarail::requests {

/// Sends calls to other entry instances. Callbacks run on the control thread.
/// After an error other than Errc::kUnavailable, the call may have taken
/// effect. Control thread only.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  virtual void Place(const std::string& address, const wire::PlaceCall& call,
                     Callback<wire::PlaceReply> done) = 0;
  virtual void Report(const std::string& address, const wire::ReportCall& call,
                      Callback<wire::ReportReply> done) = 0;
  virtual void Find(const std::string& address, const wire::FindCall& call,
                    Callback<wire::FindReply> done) = 0;
  virtual void Submit(const std::string& address, const wire::SubmitCall& call,
                      Callback<wire::SubmitReply> done) = 0;
  virtual void Cancel(const std::string& address, const wire::CancelCall& call,
                      Callback<wire::CancelReply> done) = 0;
};

}  // namespace mimosarail::requests
