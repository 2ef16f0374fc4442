package main

import "fmt"

// deployment starts engines, discovery and a router.
func deployment(s *scene, f *fleet, readers, writers int, settings map[string]any) (*routerProcess, []*engine, error) {
	var entries []listEntry
	var engines []*engine
	for i := range readers + writers {
		name, class := fmt.Sprintf("read-%d", i), "prefill"
		if i >= readers {
			name, class = fmt.Sprintf("write-%d", i-readers), "decode"
		}
		e, err := f.start(name, class, i < readers)
		if err != nil {
			return nil, nil, err
		}
		engines = append(engines, e)
		entries = append(entries, listEntry{Host: name, Dial: e.address(), Site: "hall", Class: class, Block: 1, Health: "Ready", Share: 1})
	}
	d, err := startDiscovery(entries)
	if err != nil {
		return nil, nil, err
	}
	router, err := startRouter(s.folder, "n1", d.address(), s.memoryMB, s.sockets, listAnswer{Seq: 1, Whole: true, Hosts: entries}, settings)
	return router, engines, err
}
