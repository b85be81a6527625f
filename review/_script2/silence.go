package main

import (
	"fmt"
	"sync"
	"time"
)

// silentStoreChannels: all open channels between the nodes and the store go silent while new ones work.
// Shortly after, a server of a plain service leaves without reporting that it drains: its entry is
// removed and it goes on serving for a while. No node may send it a request later than drainMs after
// the store acknowledged that, once the nodes are in touch again.
func silentStoreChannels(c *run) error {
	const (
		nodes   = 3
		servers = 3
		// leaveAfter is how long after the channels went silent the entry is removed.
		leaveAfter = 400 * time.Millisecond
		// exitAfter is how long after that the server exits: drainMs and a little longer.
		exitAfter = drainTime + 1500*time.Millisecond
		// margin is left to the requests that were on their way.
		margin = 150 * time.Millisecond
	)
	store, storeAddress, err := startStore("127.0.0.1")
	if err != nil {
		return err
	}
	proxy, err := startSilencer("127.0.0.1", storeAddress)
	if err != nil {
		return err
	}
	store.Put("op", "config", manifest(7, 4))
	stop := make(chan struct{})
	defer close(stop)
	var backends []*backend
	leavingStop := make(chan struct{})
	for i := range servers {
		b := &backend{id: fmt.Sprint("i-desk", i), pool: plainPool, slots: 6, work: 250 * time.Millisecond}
		if err := startBackend(b, "127.0.0.1"); err != nil {
			return err
		}
		ends := stop
		if i == 0 {
			ends = leavingStop
		}
		b.register(store, ends)
		backends = append(backends, b)
	}
	ips := freeIPs(nodes)
	if len(ips) < nodes {
		return fmt.Errorf("no free loopback addresses")
	}
	for _, ip := range ips {
		n, err := c.newNode(ip, proxy.address)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	requests := newRequester()
	pressing := make(chan struct{})
	var group sync.WaitGroup
	for _, n := range c.nodes {
		requests.press(n, request{path: oncePrefix, limit: 3 * time.Second}, 12, pressing, &group)
		requests.press(n, request{path: lookPrefix, limit: 3 * time.Second}, 8, pressing, &group)
	}
	time.Sleep(4 * time.Second)
	silentAt := time.Now()
	if c.trouble {
		c.note("%d open channels to the store go silent", proxy.silence())
	}
	time.Sleep(leaveAfter)
	leaving := backends[0]
	close(leavingStop)
	store.Remove("servers", leaving.id)
	acknowledged := time.Now()
	c.note("%s leaves: the store has acknowledged that its entry is gone", leaving.id)
	time.Sleep(time.Until(acknowledged.Add(exitAfter)))
	_ = leaving.server.Close()
	c.note("%s exits", leaving.id)
	time.Sleep(6 * time.Second)
	close(pressing)
	group.Wait()
	// Requests that are judged were taken from the requester when the nodes were in touch again.
	inTouch := silentAt.Add(contact)
	bound := acknowledged.Add(drainTime)
	c.note("nodes in touch again after %.3f s, bound of the rule at %.3f s", inTouch.Sub(c.started).Seconds(), bound.Sub(c.started).Seconds())
	late, last := 0, time.Time{}
	leaving.mu.Lock()
	arrivals := append([]arrival{}, leaving.arrivals...)
	leaving.mu.Unlock()
	before := 0
	for _, a := range arrivals {
		if a.at.Before(acknowledged) {
			before++
			continue
		}
		sent, found := requests.get(a.id)
		c.note("request %s reaches %s at %.3f s, %.3f s after the acknowledgement, sent to %s at %.3f s", a.id, leaving.id,
			a.at.Sub(c.started).Seconds(), a.at.Sub(acknowledged).Seconds(), sent.node, sent.at.Sub(c.started).Seconds())
		if found && sent.at.After(inTouch) && a.at.After(bound.Add(margin)) {
			late++
			last = a.at
		}
	}
	served, failed := 0, 0
	for id, got := range requests.sent {
		if got.status == 200 && got.err == nil {
			served++
			continue
		}
		failed++
		c.note("request %s, sent to %s at %.3f s, ended with status %d, error %v", id, got.node, got.at.Sub(c.started).Seconds(), got.status, got.err)
	}
	c.note("%d requests served, %d not; %d reached %s before it left", served, failed, before, leaving.id)
	if before == 0 || served == 0 {
		return fmt.Errorf("the case did not come about: %d requests reached the server, %d were served", before, served)
	}
	if late > 0 {
		c.breakRule("DRAIN: %d requests reached %s later than drainMs after the store had acknowledged that it is gone, the last one %.3f s after",
			late, leaving.id, last.Sub(acknowledged).Seconds())
	}
	return nil
}
