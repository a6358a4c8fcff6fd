#pragma once

/// \brief geraniumpond: a load balancer for servers whose load shifts in
/// milliseconds, and the parts it is made of.
///
/// Every part is a plain struct with free functions. None reads a clock, a
/// socket, a file or a random source: times and random words are arguments,
/// and what is to be done comes back as data. Each can be embedded alone.

// What everything else is written in.
#include <geraniumpond/fwd.h>
#include <geraniumpond/hash.h>
#include <geraniumpond/result.h>
#include <geraniumpond/time.h>

// What an operator writes.
#include <geraniumpond/deployment.h>
#include <geraniumpond/settings.h>
#include <geraniumpond/text_delta.h>

// Where a call goes, when it waits, and when it is tried again.
#include <geraniumpond/budget.h>
#include <geraniumpond/limits.h>
#include <geraniumpond/retries.h>
#include <geraniumpond/routing.h>

// What must hold over all hosts.
#include <geraniumpond/consensus.h>
#include <geraniumpond/control.h>
#include <geraniumpond/idempotency.h>
#include <geraniumpond/membership.h>

// How well it went.
#include <geraniumpond/burn.h>

// One host: all of it in one reducer, and what it shows.
#include <geraniumpond/node.h>
#include <geraniumpond/views.h>
