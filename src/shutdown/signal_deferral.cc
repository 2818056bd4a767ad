#include "src/shutdown/signal_deferral.h"

#include <csignal>
#include <initializer_list>

#include "src/libs/base/soft_assert.h"

namespace mimosarail::shutdown {
namespace {

void ChangeMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  MR_EXPECT(pthread_sigmask(how, &signals, nullptr) == 0, return );
}

}  // namespace

void DeferSignals() { ChangeMask(SIG_BLOCK); }

SignalDelivery::SignalDelivery() { ChangeMask(SIG_UNBLOCK); }
SignalDelivery::~SignalDelivery() { ChangeMask(SIG_BLOCK); }

}  // namespace mimosarail::shutdown
